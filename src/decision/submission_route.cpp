#include "submission_table.hpp"

#include <kumquatpath/decision/submission.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// A packet of a submission is passed on at most this often.
constexpr std::uint8_t most_hops = 3;

duration longest_deadline(const submission_state& state, const roster_view& view)
{
    return view.options.longest_keep - state.options.margin;
}

void pass_on(instance_id peer, const packet_header& header, payload_view payload,
             action_list& actions)
{
    pass_to_peer passed{.peer = peer, .header = header, .payload = payload};
    ++passed.header.hops;
    actions.push_back(passed);
}

/// Passes the packet to \p coordinator, which knows of the submission, if it is there.
/// A copy that was passed on already and still missed the coordinator goes no further.
bool pass_to_coordinator(const submission_context& context, instance_id coordinator,
                         const packet_header& header, payload_view payload,
                         action_list& actions)
{
    if (coordinator == context.members.self || header.hops >= most_hops ||
        !is_alive(context.members, coordinator))
    {
        return false;
    }
    pass_on(coordinator, header, payload, actions);
    return true;
}

/// Returns whether a copy needs no answer: the first one is still to come, or was just
/// given and is too long to be kept.
bool is_echo(const submission_state& state, const submission& entry, time_point now)
{
    return entry.stage != submission_stage::finished ||
           (!entry.answer && now - entry.finished_at < state.options.echo_window);
}

/// Answers a copy of a submission that this instance coordinates, or did.
void answer_copy(const submission_state& state, const submission& entry,
                 const submission_context& context, const packet_header& header,
                 payload_view payload, action_list& actions)
{
    if (is_echo(state, entry, context.now))
    {
        actions.push_back(drop_packet{drop_reason::duplicate});
        return;
    }
    const bool is_same_caller = header.return_path == entry.header.return_path;
    if (is_same_caller && entry.answer)
    {
        actions.push_back(send_to_caller{.header = entry.answer->header,
                                         .payload = entry.answer->payload});
        return;
    }
    const auto other = other_coordinator(entry.claim);
    if (!other || !pass_to_coordinator(context, *other, header, payload, actions))
    {
        tell_unknown(header, refusal_reason::duplicate, actions);
    }
}

/// Returns whether this instance is among the holders of both sets that count.
bool may_coordinate(const submission_context& context, const holder_sets& sets)
{
    const bool is_holder =
        std::ranges::find(sets.current, context.roster.self) != sets.current.end();
    return is_holder && may_decide(context.roster, context.now);
}

/// Returns the holder that is to coordinate: the best-ranked one that seems alive. An
/// instance that may not decide looks behind itself, then from the start.
std::optional<instance_id> coordinator_among(const submission_context& context,
                                             const std::vector<instance_id>& holders,
                                             bool may_be_self)
{
    const instance_id self = context.roster.self;
    const auto own = std::ranges::find(holders, self);
    const auto own_rank =
        own == holders.end() ? 0 : static_cast<std::size_t>(own - holders.begin());
    const std::size_t start = may_be_self ? 0 : own_rank;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        const instance_id each = holders[(start + i) % holders.size()];
        if (each == self ? may_be_self : is_alive(context.members, each))
        {
            return each;
        }
    }
    return std::nullopt;
}

/// Finds who coordinates a submission of which this instance knows nothing.
submission_route route_fresh(const submission_context& context,
                             const packet_header& header, payload_view payload,
                             action_list& actions)
{
    const holder_sets sets = holders_of(context.roster, key_of(header), context.now);
    const bool may_be_self = may_coordinate(context, sets);
    const bool was_passed = header.hops > 0;
    const auto best = coordinator_among(context, sets.current, may_be_self);
    if (may_be_self && (was_passed || best == context.roster.self))
    {
        return submission_route::coordinate;
    }
    if (!best || header.hops >= most_hops)
    {
        tell_unknown(header, refusal_reason::no_quorum, actions);
        return submission_route::handled;
    }
    pass_on(*best, header, payload, actions);
    return submission_route::handled;
}

/// Passes a cancellation to the instance that seems to coordinate the submission.
void pass_cancellation(const submission_state& state, const submission_context& context,
                       const packet_header& header, action_list& actions)
{
    const claim_record* record = find_record(state.records, key_of(header));
    const holder_sets sets = holders_of(context.roster, key_of(header), context.now);
    const auto best = record != nullptr ? std::optional(record->coordinator)
                                        : coordinator_among(context, sets.current, true);
    if (header.hops > 0 || !best ||
        !pass_to_coordinator(context, *best, header, {}, actions))
    {
        actions.push_back(drop_packet{drop_reason::no_keeper});
    }
}

} // namespace

submission_route route_submission(submission_state& state,
                                  const submission_context& context,
                                  const packet_header& header, payload_view payload,
                                  action_list& actions)
{
    if (may_be_stale(context.roster, context.now))
    {
        // The packet may be older than any record of its submission; a caller that still
        // waits sends another copy.
        actions.push_back(drop_packet{drop_reason::no_keeper});
        return submission_route::handled;
    }
    const submission_key key = key_of(header);
    if (const submission* entry = find_submission(state, key))
    {
        answer_copy(state, *entry, context, header, payload, actions);
        return submission_route::handled;
    }
    if (header.deadline.count() <= 0 ||
        header.deadline > longest_deadline(state, context.roster))
    {
        tell_unknown(header, refusal_reason::deadline_passed, actions);
        return submission_route::handled;
    }
    if (const claim_record* record = find_record(state.records, key))
    {
        if (!pass_to_coordinator(context, record->coordinator, header, payload, actions))
        {
            tell_unknown(header, refusal_reason::duplicate, actions);
        }
        return submission_route::handled;
    }
    return route_fresh(context, header, payload, actions);
}

void cancel_submission(submission_state& state, const submission_context& context,
                       const packet_header& header, action_list& actions)
{
    submission* entry = find_submission(state, key_of(header));
    if (entry == nullptr)
    {
        pass_cancellation(state, context, header, actions);
        return;
    }
    if (entry->header.return_path != header.return_path ||
        entry->stage == submission_stage::finished || entry->is_cancelled)
    {
        actions.push_back(drop_packet{drop_reason::duplicate});
        return;
    }
    entry->is_cancelled = true;
    if (entry->stage == submission_stage::sent)
    {
        actions.push_back(send_to_target{.target = entry->target, .header = header});
        return;
    }
    advance(state, *entry, context, actions);
}

} // namespace kumquatpath
