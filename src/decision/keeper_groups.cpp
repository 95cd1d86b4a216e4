#include <kumquatpath/decision/keeper_groups.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

struct ranked
{
    std::uint64_t score = 0;
    const member* holder = nullptr;
};

bool outranks(const ranked& left, const ranked& right)
{
    return right.holder == nullptr || left.score > right.score;
}

/// Returns the best two of the members that \p counts, in two data centres if there are.
template <class Predicate>
keepers best_two(const member_view& view, std::uint16_t group, const Predicate& counts)
{
    ranked first;
    for (const member& each : view.members)
    {
        const ranked next{mix(group, each.instance.value), &each};
        first = counts(each) && outranks(next, first) ? next : first;
    }
    if (first.holder == nullptr)
    {
        return {};
    }
    ranked near;
    ranked far;
    for (const member& each : view.members)
    {
        const bool is_far = each.data_centre != first.holder->data_centre;
        const ranked next{mix(group, each.instance.value), &each};
        ranked& best = is_far ? far : near;
        if (counts(each) && &each != first.holder && outranks(next, best))
        {
            best = next;
        }
    }
    const member* replica = far.holder != nullptr ? far.holder : near.holder;
    return {.first = first.holder->instance,
            .replica = replica != nullptr ? replica->instance : instance_id{}};
}

const member* find_member(const member_view& view, instance_id id)
{
    const auto found = std::ranges::lower_bound(view.members, id, {}, &member::instance);
    return found != view.members.end() && found->instance == id ? &*found : nullptr;
}

bool can_answer(const member_view& view, instance_id id)
{
    const member* found = find_member(view, id);
    return id != view.self && found != nullptr && found->state != member_state::dead;
}

bool keeps(const keepers& pair, instance_id id)
{
    return pair.first == id || pair.replica == id;
}

/// Takes note of who may know the flows of \p number, which \p before kept until now.
void set_formers(keeper_group& group, std::uint16_t number, const member_view& view,
                 const keepers& before)
{
    // An instance that has just started has no earlier view, but those who were there
    // before it agree on the keepers without it.
    const bool has_started = before == keepers{};
    const keepers holders = has_started ? earlier_keepers_of(view, number) : before;
    group.former = holders.first;
    group.former_replica = holders.replica;
}

/// Turns to another holder when the former keeper has gone before it told everything.
void replace_former(keeper_group& group, const member_view& view)
{
    const instance_id other =
        group.now.first == view.self ? group.now.replica : group.now.first;
    for (const instance_id next : {group.former_replica, other})
    {
        if (can_answer(view, next) && (next != other || !group.is_complete))
        {
            group.former = next;
            group.former_replica = {};
            group.asked = {};
            return;
        }
    }
    group.former = {};
    group.is_complete = true;
}

} // namespace

std::uint16_t group_of(service_id service, slot_index slot) noexcept
{
    return mix(service.value, slot.value) % keeper_group_count;
}

keepers keepers_of(const member_view& view, std::uint16_t group)
{
    return best_two(view, group,
                    [](const member& each) { return each.state == member_state::alive; });
}

keepers earlier_keepers_of(const member_view& view, std::uint16_t group)
{
    return best_two(view, group,
                    [&view](const member& each) {
                        return each.state == member_state::alive &&
                               each.instance != view.self;
                    });
}

void adopt_keepers(keeper_groups& groups, const member_view& view, time_point now)
{
    for (std::uint16_t i = 0; i < keeper_group_count; ++i)
    {
        keeper_group& group = groups[i];
        const keepers before = group.now;
        group.now = keepers_of(view, i);
        const bool was_keeper = keeps(before, view.self);
        const bool is_new_first =
            group.now.first == view.self && before.first != view.self;
        if (is_new_first || (keeps(group.now, view.self) && !was_keeper))
        {
            set_formers(group, i, view, before);
            group.gained = now;
            group.is_complete = group.is_complete && was_keeper;
            group.asked = {};
        }
        if (!can_answer(view, group.former))
        {
            replace_former(group, view);
        }
    }
}

void distrust_kept_groups(keeper_groups& groups, const member_view& view, time_point now)
{
    for (keeper_group& group : groups)
    {
        if (!keeps(group.now, view.self))
        {
            continue;
        }
        const instance_id other =
            group.now.first == view.self ? group.now.replica : group.now.first;
        group.former = other;
        group.gained = now;
        group.is_complete = other == instance_id{};
        group.asked = {};
    }
}

} // namespace kumquatpath
