/// \file
/// The way of a packet through one instance: placed, admitted, remembered, sent.

#include "instance_detail.hpp"

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The deadline of a request whose class the configuration does not know.
constexpr duration default_deadline = std::chrono::seconds(2);

duration deadline_of(const instance_state& state, const packet_header& header)
{
    if (header.deadline.count() > 0)
    {
        return header.deadline;
    }
    const traffic_class* const known = class_of(state, header.traffic_class);
    return known == nullptr ? default_deadline : duration(known->deadline);
}

/// Turns a request into its refusal, which says that it did not run.
packet_header refusal_of(const packet_header& header, refusal_reason reason)
{
    packet_header refused = header;
    refused.kind = packet_kind::refusal;
    refused.outcome = request_outcome::not_run;
    refused.reason = reason;
    return refused;
}

/// Forgets where an opened flow was placed, since it was refused after all.
void forget_open(instance_state& state, const packet_header& header, time_point now)
{
    packet_header closing = header;
    closing.kind = packet_kind::close;
    action_list unsent;
    route_packet(state.router, {.header = closing}, now, unsent);
}

/// Puts admission between placement and sending, for every action from \p first on.
void admit_sends(instance_state& state, std::size_t first, time_point now,
                 action_list& actions)
{
    for (std::size_t i = first; i < actions.size(); ++i)
    {
        const auto* const order = std::get_if<send_to_target>(&actions[i]);
        if (order == nullptr || !expects_answer(order->header.kind))
        {
            continue;
        }
        const refusal_reason reason =
            admit_send(state, order->header, order->target, now);
        if (reason == refusal_reason::none)
        {
            continue;
        }
        const packet_header header = order->header;
        if (header.kind == packet_kind::open)
        {
            forget_open(state, header, now);
        }
        actions[i] = send_to_caller{.header = refusal_of(header, reason)};
    }
}

void route(instance_state& state, const packet_header& header, payload_view payload,
           instance_id from, time_point now, action_list& actions)
{
    const std::size_t first = actions.size();
    route_packet(state.router, {.header = header, .payload = payload, .from = from}, now,
                 actions);
    admit_sends(state, first, now, actions);
}

/// Returns the peer that takes a new flow instead of this instance, which is leaving.
std::optional<instance_id> stand_in(const instance_state& state,
                                    const packet_header& header)
{
    if (!state.is_leaving || header.kind != packet_kind::open || header.hops > 0)
    {
        return std::nullopt;
    }
    // While votes are held in advance the view still names this instance as alive.
    const member_view& view = state.router.view;
    const auto best = keeper_of(view, header.flow.value, 0);
    return best == view.self ? keeper_of(view, header.flow.value, 1) : best;
}

void decide_packet(instance_state& state, const packet_header& header,
                   payload_view payload, instance_id from, time_point now,
                   action_list& actions)
{
    const bool carries_request =
        expects_answer(header.kind) || header.kind == packet_kind::cancel;
    if (carries_request && is_submission(state, header))
    {
        decide_submission(state, header, payload, now, actions);
        return;
    }
    route(state, header, payload, from, now, actions);
}

request_end end_of(const packet_header& header)
{
    return header.kind == packet_kind::answer ? request_end::answered
                                              : request_end::refused_by_target;
}

/// Ends the request that \p header answers, if this is the last of its fragments.
void finish(instance_state& state, const packet_header& header, time_point now)
{
    inflight_request* const known =
        find_inflight(state.inflight, header.flow, header.request);
    if (known == nullptr)
    {
        return;
    }
    const bool is_answer = header.kind == packet_kind::answer;
    if (is_answer && known->fragments_left == 0)
    {
        known->fragments_left = std::max(header.fragments, 1U);
    }
    if (is_answer && --known->fragments_left > 0)
    {
        return;
    }
    const auto taken = take_inflight(state.inflight, header.flow, header.request);
    const duration latency = now - taken->sent_at;
    note_finished(state.admission, taken->work, end_of(header), latency, now);
    state.finished.push_back(
        {.request = *taken,
         .outcome = is_answer ? request_outcome::answered : header.outcome,
         .latency = latency});
}

} // namespace

const traffic_class* class_of(const instance_state& state, class_id id)
{
    if (!state.in_force)
    {
        return nullptr;
    }
    const auto& classes = state.in_force->classes;
    const auto found = std::ranges::find(classes, id, &traffic_class::id);
    return found == classes.end() ? nullptr : &*found;
}

/// Decides whether a request that was placed may be sent, and remembers it if so.
refusal_reason admit_send(instance_state& state, const packet_header& header,
                          target_id target, time_point now)
{
    if (find_inflight(state.inflight, header.flow, header.request) != nullptr)
    {
        // A copy of a request on its way occupies nothing more.
        return refusal_reason::none;
    }
    const admission_result result = admit(state.admission, header, target, now);
    if (!result.admitted)
    {
        return result.reason;
    }
    const bool is_remembered =
        remember_inflight(state.inflight, {.flow = header.flow,
                                           .request = header.request,
                                           .sent_at = now,
                                           .expires_at = now + deadline_of(state, header),
                                           .service = header.service,
                                           .tenant = header.tenant,
                                           .traffic_class = header.traffic_class,
                                           .work = result.work});
    if (!is_remembered)
    {
        note_finished(state.admission, result.work, request_end::dropped, {}, now);
        return refusal_reason::table_full;
    }
    return refusal_reason::none;
}

void decide_caller_packet(instance_state& state, const packet_header& header,
                          payload_view payload, time_point now, action_list& actions)
{
    if (const auto peer = stand_in(state, header))
    {
        packet_header passed = header;
        ++passed.hops;
        actions.push_back(
            pass_to_peer{.peer = *peer, .header = passed, .payload = payload});
        return;
    }
    packet_header whole = header;
    whole.deadline =
        std::chrono::duration_cast<std::chrono::microseconds>(deadline_of(state, header));
    decide_packet(state, whole, payload, {}, now, actions);
}

void decide_passed_packet(instance_state& state, instance_id sender,
                          const packet_header& header, payload_view payload,
                          time_point now, action_list& actions)
{
    note_heard(state.members, sender, now);
    decide_packet(state, header, payload, sender, now, actions);
}

void decide_target_packet(instance_state& state, target_id sender,
                          const packet_header& header, payload_view payload,
                          time_point now, action_list& actions)
{
    const flow_key key{.service = header.service, .flow = header.flow};
    if (header.kind == packet_kind::reset)
    {
        if (take_reset(state.router, key, sender, now))
        {
            return;
        }
    }
    else
    {
        note_answer(state.router, key, sender, now);
    }
    finish(state, header, now);
    if (state.submissions.by_key.contains(key_of(header)))
    {
        receive_submission_answer(state.submissions, sender, header, payload, now,
                                  actions);
        return;
    }
    actions.push_back(send_to_caller{.header = header, .payload = payload});
}

} // namespace kumquatpath
