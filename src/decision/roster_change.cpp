#include <kumquatpath/decision/roster_change.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

bool is_holder(const roster& which, instance_id instance)
{
    return std::ranges::find(which.holders, instance) != which.holders.end();
}

bool is_wanted_holder(const roster_view& view, const member_view& members,
                      instance_id holder, const roster_change_options& options,
                      time_point now)
{
    const auto found = std::ranges::find(members.members, holder, &member::instance);
    if (found == members.members.end())
    {
        return now - view.started < options.remove_after;
    }
    return found->state == member_state::alive ||
           (found->state != member_state::leaving &&
            now - found->last_heard < options.remove_after);
}

bool is_wanted_newcomer(const roster& current, const member& each,
                        const roster_change_options& options, time_point now)
{
    return !is_holder(current, each.instance) && each.state == member_state::alive &&
           now - each.since >= options.add_after;
}

} // namespace

std::optional<roster> decide_roster(const roster_view& view, const member_view& members,
                                    const roster_change_options& options, time_point now)
{
    const roster& current = view.current;
    if (is_joint(view, now))
    {
        return std::nullopt;
    }
    roster next{.version = {current.version.value + 1}, .previous = current.holders};
    for (const instance_id each : current.holders)
    {
        if (is_wanted_holder(view, members, each, options, now))
        {
            next.holders.push_back(each);
        }
    }
    for (const member& each : members.members)
    {
        if (is_wanted_newcomer(current, each, options, now))
        {
            next.holders.push_back(each.instance);
        }
    }
    std::ranges::sort(next.holders);
    if (next.holders.empty() || next.holders == current.holders)
    {
        return std::nullopt;
    }
    return next;
}

} // namespace kumquatpath
