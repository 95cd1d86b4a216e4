#include <kumquatpath/decision/roster_leader.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// So many instances, the first that seem alive, ask for the lease.
constexpr std::size_t candidate_count = 2;

bool is_candidate(const member_view& members)
{
    std::size_t before = 0;
    for (const member& each : members.members)
    {
        const bool counts = each.state == member_state::alive;
        before += counts && each.instance < members.self ? 1 : 0;
    }
    return before < candidate_count;
}

store_request next_request(roster_leader& leader)
{
    ++leader.last_request.value;
    return leader.last_request;
}

void await(roster_leader& leader, store_request request, time_point now)
{
    leader.awaited = request;
    leader.awaited_since = now;
}

/// Gives up an answer that is overdue. Whether a write took effect is then not known, so
/// a read comes first.
void note_lost_answer(roster_leader& leader, time_point now)
{
    if (leader.awaited && now - leader.awaited_since >= leader.options.answer_timeout)
    {
        leader.awaited.reset();
        leader.revision.reset();
    }
}

bool is_read_due(const roster_leader& leader, const roster_view& view, time_point now)
{
    const auto is_newer = [&](const roster_sighting& each)
    {
        return each.version > view.current.version;
    };
    const bool is_behind = leader.newest_heard > view.current.version ||
                           std::ranges::any_of(view.sightings, is_newer);
    const duration since = leader.options.refresh - leader.options.read_interval;
    const bool has_cause = !leader.revision || is_behind;
    return now >= (has_cause ? leader.next_read : leader.next_read + since);
}

void ask_for_lease(roster_leader& leader, const member_view& members, time_point now,
                   store_command_list& commands)
{
    const bool may_ask = is_held(leader.lease, now) || is_candidate(members);
    if (!may_ask || !is_ask_due(leader.lease, now))
    {
        return;
    }
    const store_request request = next_request(leader);
    ask_lease(leader.lease, request, now);
    commands.emplace_back(
        acquire_lease{.request = request,
                      .token = leader.lease.token,
                      .time_to_live = leader.options.lease.time_to_live});
}

/// Returns the value that the store is to hold next, if it needs a new one.
std::optional<roster> next_value(const roster_leader& leader, const roster_view& view,
                                 const member_view& members, time_point now)
{
    const bool is_current = leader.stored.version == view.current.version;
    if (is_current && !leader.stored.previous.empty() && view.current.previous.empty())
    {
        return view.current;
    }
    return decide_roster(view, members, leader.options.change, now);
}

} // namespace

roster_leader start_roster_leader(const roster_leader_options& options, lease_token token)
{
    return {.options = options, .lease = {.options = options.lease, .token = token}};
}

void hear_of_roster(roster_leader& leader, roster_version version)
{
    leader.newest_heard = std::max(leader.newest_heard, version);
}

void tick_roster_leader(roster_leader& leader, const roster_view& view,
                        const member_view& members, time_point now,
                        store_command_list& commands)
{
    note_lost_answer(leader, now);
    ask_for_lease(leader, members, now, commands);
    if (leader.awaited)
    {
        return;
    }
    if (is_read_due(leader, view, now))
    {
        leader.next_read = now + leader.options.read_interval;
        await(leader, next_request(leader), now);
        commands.emplace_back(read_roster{.request = *leader.awaited});
        return;
    }
    if (!is_held(leader.lease, now) || !leader.revision)
    {
        return;
    }
    if (auto next = next_value(leader, view, members, now))
    {
        await(leader, next_request(leader), now);
        commands.emplace_back(write_roster{.request = *leader.awaited,
                                           .value = std::move(*next),
                                           .expected = *leader.revision});
    }
}

void receive_lease_answer(roster_leader& leader, const lease_answer& answer)
{
    receive_lease_answer(leader.lease, answer.request, answer.is_granted);
}

void receive_roster_answer(roster_leader& leader, roster_view& view,
                           const roster_answer& answer, time_point now)
{
    if (leader.awaited != answer.request)
    {
        return;
    }
    leader.awaited.reset();
    if (!answer.is_accepted)
    {
        leader.revision.reset();
        return;
    }
    learn_roster_from_store(view, answer.value, leader.awaited_since, now);
    leader.stored = answer.value;
    leader.revision = answer.revision;
}

} // namespace kumquatpath
