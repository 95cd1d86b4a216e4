#include "flow_table.hpp"
#include "opening_rules.hpp"
#include "rehash_detection.hpp"
#include "remote_flows.hpp"

#include <kumquatpath/decision/ended_flows.hpp>
#include <kumquatpath/decision/opening_verdict.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// A flow that is silent for this multiple of its target's response time, within the
/// bounds below, no longer counts as load: its packets may pass through another instance
/// by now.
constexpr double silence_timeout_factor = 4;
constexpr duration min_silence_timeout = std::chrono::milliseconds(150);
constexpr duration max_silence_timeout = std::chrono::seconds(4);
/// An ended flow stays tracked this long for its last packets.
constexpr duration ended_flow_timeout = std::chrono::seconds(2);
constexpr duration idle_flow_timeout = std::chrono::seconds(20);
constexpr duration sweep_interval = std::chrono::milliseconds(100);

steering_decision forward_to(const target_directory& directory, target_index target,
                             bool is_placement)
{
    return {.verdict = steering_verdict::forward,
            .target = target,
            .token = directory.targets[target].token,
            .is_placement = is_placement};
}

/// Returns whether a second try may still be answered in the usual time.
bool is_second_try_awaited(const flow_steering& steering,
                           const target_directory& directory, const tracked_flow& flow,
                           time_point now)
{
    return flow.has_second_try && takes_new_flows(directory.targets[flow.target], now) &&
           now < flow.placed_at + opening_timeout(steering.selector);
}

/// Steers a retransmission of the packet that opened \p flow: to the same target if that
/// is known to be alive and takes new flows, otherwise to another one if possible. A
/// target of an evacuated data centre gets it only if the caller has answered the target.
steering_decision steer_retransmission(flow_steering& steering,
                                       const routing_table& table,
                                       const target_directory& directory,
                                       const opening_rules& rules, std::uint64_t flow_key,
                                       tracked_flow& flow, time_point now)
{
    flow.last_seen = now;
    const bool is_limited = is_limited_since_placement(table, directory, flow, now);
    const bool is_alive = takes_new_flows(directory.targets[flow.target], now) &&
                          is_target_alive(steering, directory, flow);
    const bool is_target_kept =
        !is_limited && (flow.is_answered || is_alive ||
                        is_second_try_awaited(steering, directory, flow, now));
    if (is_target_kept)
    {
        return forward_to(directory, flow.target, false);
    }
    const target_index avoided = flow.target;
    steering.selector.remote.reason.reset();
    const target_index* const next = select_target(steering.selector, directory,
                                                   {.service = rules.service,
                                                    .is_repeatable = rules.is_repeatable,
                                                    .avoided = &avoided,
                                                    .warm_up = rules.warm_up,
                                                    .random = steering.random},
                                                   now);
    const bool is_evacuated = directory.targets[flow.target].is_evacuated;
    if (next == nullptr && is_evacuated)
    {
        return {.verdict = steering_verdict::evacuated};
    }
    if (next == nullptr && is_limited)
    {
        ++steering.selector.warm_up.flows_refused;
        return {.verdict = steering_verdict::warm_up_limit};
    }
    steering.openings_moved_by_evacuation += is_evacuated ? 1U : 0U;
    if (next == nullptr || *next == avoided)
    {
        return forward_to(directory, flow.target, false);
    }
    place_again(steering, directory, {flow_key}, flow, *next, now);
    steering_decision decision = forward_to(directory, flow.target, true);
    decision.remote = count_remote_placement(steering, directory, flow.target);
    return decision;
}

steering_decision steer_opening(flow_steering& steering, const routing_table& table,
                                const target_directory& directory,
                                const flow_packet& packet, time_point now)
{
    const route* const matched_route = find_route(table, packet.listener);
    if (matched_route == nullptr)
    {
        return {.verdict = steering_verdict::no_route};
    }
    steering.random = hash_pair(steering.random, pack(packet.caller));
    const std::uint64_t flow_key = packet.flow.value;
    const opening_rules rules = rules_of(table, *matched_route, packet, steering.random);
    const auto found = steering.flows.find(flow_key);
    if (found != steering.flows.end() && now < found->second.opened_at + opening_lifetime)
    {
        return steer_retransmission(steering, table, directory, rules, flow_key,
                                    found->second, now);
    }
    steering.selector.remote.reason.reset();
    const target_index* const target =
        select_target(steering.selector, directory,
                      {.service = rules.service,
                       .may_wait = true,
                       .is_repeatable = rules.is_repeatable,
                       .warm_up = rules.warm_up,
                       .random = steering.random},
                      now);
    if (target == nullptr)
    {
        const steering_verdict verdict =
            verdict_without_target(directory, rules.service, rules.warm_up, now);
        const bool is_refused = verdict == steering_verdict::warm_up_limit;
        steering.selector.warm_up.flows_refused += is_refused ? 1U : 0U;
        return {.verdict = verdict};
    }
    if (steering.flows.size() >= max_tracked_flows)
    {
        steering.last_untracked_at = now;
    }
    else
    {
        tracked_flow& flow = steering.flows[flow_key];
        set_in_flight(steering, directory, flow, false);
        flow = tracked_flow{.target = *target, .opened_at = now, .last_seen = now};
        assign_target(steering, directory, flow, *target, now);
        expect_answer(steering, flow, packet.flow, now);
    }
    steering_decision decision = forward_to(directory, *target, true);
    decision.remote = count_remote_placement(steering, directory, *target);
    return decision;
}

/// Records that \p answering_target has answered the opening of \p flow.
void finish_opening(flow_steering& steering, const target_directory& directory,
                    tracked_flow& flow, target_index answering_target, time_point now)
{
    if (flow.target != answering_target)
    {
        // That target got the opening from an earlier placement or from another instance.
        const time_point sent = flow.opened_at;
        assign_target(steering, directory, flow, answering_target, now);
        flow.placed_at = sent;
    }
    flow.is_answered = true;
    flow.answered_at = now;
    record_opening_answered(steering.selector, directory, answering_target,
                            flow.placed_at, now);
    record_remote_opening(steering, directory, flow, now);
}

/// Records that the request of \p flow was answered.
void finish_request(flow_steering& steering, const routing_table& table,
                    const target_directory& directory, tracked_flow& flow,
                    const endpoint& listener, time_point now)
{
    const route* const matched_route = find_route(table, listener);
    const duration goal =
        matched_route == nullptr ? duration(0) : matched_route->latency_goal;
    if (stats_of(steering.selector, directory, flow.target).key == flow.key)
    {
        record_request_answered(steering.selector, directory, flow.target,
                                now - *flow.request_sent_at, goal, now);
        record_remote_request(steering, directory, flow, goal, now);
    }
    flow.request_sent_at.reset();
    set_in_flight(steering, directory, flow, false);
}

/// Tracks the requests and answers of \p flow. A packet with payload carries a request;
/// the caller's next packet without payload, or with another request, acknowledges the
/// answer.
void record_packet(flow_steering& steering, const routing_table& table,
                   const target_directory& directory, tracked_flow& flow,
                   const flow_packet& packet, time_point now)
{
    flow.last_seen = now;
    record_payload(flow, packet, now);
    const bool is_new_request = packet.has_payload && packet.request != flow.request;
    if (is_new_request && !flow.is_in_flight)
    {
        // The caller paused between requests, so the time of the answer is unknown.
        flow.request_sent_at.reset();
    }
    if (flow.request_sent_at && (is_new_request || !packet.has_payload))
    {
        finish_request(steering, table, directory, flow, packet.listener, now);
    }
    if (packet.has_payload)
    {
        flow.request_sent_at = flow.request_sent_at.value_or(now);
        flow.request = packet.request;
        set_in_flight(steering, directory, flow, true);
    }
    if (packet.is_end)
    {
        flow.is_ended = true;
        flow.request_sent_at.reset();
        set_in_flight(steering, directory, flow, false);
    }
}

void check_overdue_opening(flow_steering& steering, const target_directory& directory,
                           const tracked_flow& flow, const pending_opening& opening,
                           time_point now)
{
    // The target of the second try has answered before that of the first placement.
    const bool is_overtaken = flow.has_second_try && flow.target != opening.target &&
                              flow.first_target == opening.target;
    const bool is_unanswered = !flow.is_answered || is_overtaken;
    const target_stats& stats = stats_of(steering.selector, directory, opening.target);
    if (is_unanswered && stats.key == opening.key && !is_rehashing(steering, now))
    {
        record_opening_overdue(steering.selector, directory, opening.target,
                               opening.sent_at);
    }
}

duration silence_timeout(const target_stats& stats)
{
    const duration expected =
        from_milliseconds(silence_timeout_factor * stats.response_time_ms);
    return expected == duration(0)
               ? min_silence_timeout
               : std::clamp(expected, min_silence_timeout, max_silence_timeout);
}

/// Stops counting silent flows as load and removes expired flows.
void sweep(flow_steering& steering, const target_directory& directory, time_point now)
{
    for (auto each = steering.flows.begin(); each != steering.flows.end();)
    {
        tracked_flow& flow = each->second;
        if (flow.is_in_flight &&
            now >= flow.last_seen + silence_timeout(stats_of(steering.selector, directory,
                                                             flow.target)))
        {
            set_in_flight(steering, directory, flow, false);
        }
        const bool is_open = flow.is_answered && !flow.is_ended;
        const bool is_expired =
            !flow.is_in_flight &&
            now >= flow.last_seen + (is_open ? idle_flow_timeout : ended_flow_timeout);
        const auto current = each++;
        if (is_expired)
        {
            steering.flows.erase(current);
        }
    }
}

/// Returns whether a flow that is not tracked may have been opened here.
bool may_be_own(const flow_steering& steering, time_point now)
{
    return steering.last_untracked_at &&
           now < *steering.last_untracked_at + idle_flow_timeout;
}

/// Tracks a flow that was opened through another instance and whose packets arrive here.
void track_flow_opened_elsewhere(flow_steering& steering, const routing_table& table,
                                 const target_directory& directory,
                                 const flow_packet& packet, target_index target,
                                 time_point now)
{
    if (!may_be_own(steering, now))
    {
        record_flow_opened_elsewhere(steering, now);
    }
    if (packet.is_end || steering.flows.size() >= max_tracked_flows)
    {
        return;
    }
    tracked_flow& flow = steering.flows[packet.flow.value];
    flow = {.target = target,
            .opened_at = now,
            .answered_at = now,
            .last_seen = now,
            .is_answered = true,
            .is_opened_elsewhere = true,
            // The first packet of a caller after the opening acknowledges the target that
            // answered it, and has no payload.
            .is_pinned = steering.pins_flows && !packet.has_payload};
    assign_target(steering, directory, flow, target, now);
    record_packet(steering, table, directory, flow, packet, now);
}

/// Returns the target of \p flow for a packet with the token of \p token_target.
target_index target_of(const target_directory& directory, const tracked_flow& flow,
                       target_index token_target)
{
    // If the opening was placed more than once, the late answer of another target must
    // not move the flow.
    const bool keeps_target = flow.is_answered &&
                              (flow.placements > 1 || flow.is_pinned) &&
                              directory.targets[flow.target].record.key == flow.key;
    return keeps_target ? flow.target : token_target;
}

/// Records that the target of \p flow has ended.
steering_decision end_flow(flow_steering& steering, const target_directory& directory,
                           tracked_flow& flow)
{
    flow.is_ended = true;
    flow.request_sent_at.reset();
    set_in_flight(steering, directory, flow, false);
    return {.verdict = steering_verdict::target_ended};
}

} // namespace

bool is_repeatable(const routing_table& table, const flow_packet& packet)
{
    const route* const found = find_route(table, packet.listener);
    return found != nullptr &&
           policy_of(table, *found, packet.traffic_class).is_repeatable;
}

steering_decision steer(flow_steering& steering, const routing_table& table,
                        const target_directory& directory, const flow_packet& packet,
                        time_point now)
{
    if (packet.is_opening)
    {
        return steer_opening(steering, table, directory, packet, now);
    }
    const target_index* const token_target = find_by_token(directory, packet.token);
    if (token_target == nullptr)
    {
        return {.verdict = steering_verdict::unknown_token};
    }
    const auto found = steering.flows.find(packet.flow.value);
    if (found == steering.flows.end())
    {
        if (must_reset(directory, table, packet, *token_target, nullptr, now))
        {
            return {.verdict = steering_verdict::target_ended};
        }
        track_flow_opened_elsewhere(steering, table, directory, packet, *token_target,
                                    now);
        return forward_to(directory, *token_target, false);
    }
    tracked_flow& flow = found->second;
    steering_decision decision{.verdict = steering_verdict::forward,
                               .target = target_of(directory, flow, *token_target)};
    if (must_reset(directory, table, packet, decision.target, &flow, now))
    {
        return end_flow(steering, directory, flow);
    }
    decision.token = directory.targets[decision.target].token;
    if (!flow.is_answered)
    {
        decision.opening_time = now - flow.placed_at;
        finish_opening(steering, directory, flow, *token_target, now);
        // As the first packet of a flow that was opened elsewhere.
        flow.is_pinned = steering.pins_flows && !packet.has_payload;
    }
    if (packet.is_end && !flow.is_ended && !flow.is_opened_elsewhere)
    {
        decision.flow_time = now - flow.opened_at;
    }
    record_packet(steering, table, directory, flow, packet, now);
    return decision;
}

void review_flows(flow_steering& steering, const target_directory& directory,
                  time_point now)
{
    while (!steering.pending.empty() && now >= steering.pending.front().due)
    {
        const pending_opening opening = steering.pending.front();
        steering.pending.pop_front();
        const auto found = steering.flows.find(opening.flow);
        if (found != steering.flows.end())
        {
            check_overdue_opening(steering, directory, found->second, opening, now);
        }
    }
    if (now >= steering.next_sweep)
    {
        steering.next_sweep = now + sweep_interval;
        sweep(steering, directory, now);
    }
}

} // namespace kumquatpath
