/// \file
/// Submissions, the roster of their holders, and its leadership, in one instance.

#include "instance_detail.hpp"

#include <kumquatpath/decision/flow_location.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The most holders of one roster. Each hears all others, so the bound keeps the
/// heartbeats between them within the budget of control traffic.
constexpr std::size_t most_holders = 9;
constexpr std::uint64_t holder_seed = 0x686f6c64;

bool is_holder(const roster& which, instance_id instance)
{
    const auto contains = [instance](const std::vector<instance_id>& list)
    {
        return std::ranges::find(list, instance) != list.end();
    };
    return contains(which.holders) || contains(which.previous);
}

std::string_view region_name(const configuration& whole, data_centre_id id)
{
    const auto found = std::ranges::find(whole.data_centres, id, &data_centre::id);
    return found == whole.data_centres.end() ? std::string_view() : found->region;
}

/// Returns the members that may hold claims: those of the own region, of which the best
/// few by rendezvous hashing.
member_view holder_candidates(const instance_state& state, const member_view& all)
{
    member_view near{.self = all.self};
    const std::string_view own = region_of(state);
    std::ranges::copy_if(all.members, std::back_inserter(near.members),
                         [&](const member& each) {
                             return region_name(*state.in_force, each.data_centre) == own;
                         });
    if (near.members.size() <= most_holders)
    {
        return near;
    }
    // Members that are there come before dead ones, and each kind in the order of its
    // scores.
    const auto rank = [](const member& each)
    {
        const bool is_there = each.state != member_state::dead;
        return std::pair(is_there, mix(holder_seed, each.instance.value));
    };
    std::ranges::sort(near.members, std::ranges::greater{}, rank);
    near.members.resize(most_holders);
    std::ranges::sort(near.members, {}, &member::instance);
    return near;
}

std::optional<target_id> locate(instance_state& state, const packet_header& header,
                                time_point now, action_list& actions)
{
    return header.kind == packet_kind::open
               ? locate_new_flow(state.router, header, now, actions)
               : locate_flow(state.router, header, now, actions);
}

} // namespace

std::string_view region_of(const instance_state& state)
{
    return state.in_force ? region_name(*state.in_force, state.members.self.data_centre)
                          : std::string_view();
}

submission_context context_of(const instance_state& state, const member_view& view,
                              time_point now)
{
    return {.roster = state.roster, .members = view, .now = now};
}

bool is_submission(const instance_state& state, const packet_header& header)
{
    const traffic_class* const known = class_of(state, header.traffic_class);
    const bool may_repeat = header.repeatable && known != nullptr && known->repeatable;
    return !may_repeat;
}

void decide_submission(instance_state& state, const packet_header& header,
                       payload_view payload, time_point now, action_list& actions)
{
    const submission_context context = context_of(state, state.router.view, now);
    if (header.kind == packet_kind::cancel)
    {
        cancel_submission(state.submissions, context, header, actions);
        return;
    }
    const auto route =
        route_submission(state.submissions, context, header, payload, actions);
    if (route == submission_route::handled)
    {
        return;
    }
    const auto target = locate(state, header, now, actions);
    if (!target)
    {
        // Nothing was claimed, so a later copy may still run.
        actions.push_back(drop_packet{drop_reason::no_keeper});
        return;
    }
    const refusal_reason reason = admit_send(state, header, *target, now);
    if (reason != refusal_reason::none)
    {
        refuse_submission(state.submissions, context, header, reason, actions);
        return;
    }
    run_submission(state.submissions, context, header, payload, *target, actions);
}

void append_fellow_holders(const instance_state& state,
                           std::vector<instance_id>& receivers)
{
    const roster& current = state.roster.current;
    const instance_id self = state.members.self.instance;
    if (!is_holder(current, self))
    {
        return;
    }
    for (const auto* const list : {&current.holders, &current.previous})
    {
        for (const instance_id each : *list)
        {
            const bool is_new =
                each != self && std::ranges::find(receivers, each) == receivers.end();
            if (is_new)
            {
                receivers.push_back(each);
            }
        }
    }
}

void note_roster_version(instance_state& state, instance_id sender,
                         roster_version version, time_point now, action_list& actions)
{
    hear_roster_version(state.roster, sender, version, now);
    hear_of_roster(state.leader, version);
    const auto notice = notice_of(state.roster, now);
    if (!notice || version >= notice->value.version)
    {
        return;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(notice->store_word_age);
    actions.push_back(
        send_to_peer{.peer = sender,
                     .message = roster_news{.version = notice->value.version,
                                            .holders = notice->value.holders,
                                            .previous = notice->value.previous,
                                            .store_word_age = age}});
}

void tick_claims(instance_state& state, time_point now, action_list& actions)
{
    tick_roster(state.roster, now);
    tick_submissions(state.submissions, context_of(state, state.router.view, now),
                     actions);
    if (!region_of(state).empty())
    {
        tick_roster_leader(state.leader, state.roster,
                           holder_candidates(state, state.router.view), now,
                           state.store_commands);
    }
}

void receive_store_answer(instance_state& state, const lease_answer& answer)
{
    receive_lease_answer(state.leader, answer);
}

void receive_store_answer(instance_state& state, const roster_answer& answer,
                          time_point now)
{
    receive_roster_answer(state.leader, state.roster, answer, now);
}

} // namespace kumquatpath
