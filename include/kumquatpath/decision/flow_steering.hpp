#ifndef KUMQUATPATH_DECISION_FLOW_STEERING_HPP
#define KUMQUATPATH_DECISION_FLOW_STEERING_HPP

/// \file
/// What happens to each packet of a flow.
///
/// A flow carries the token of its target in each of its packets, because the target and
/// the caller send back the token that they last received. So every instance sends a
/// packet of an open flow to the right target by the packet alone. Only the packet that
/// opens a flow is placed, by the listener that it was sent to. A packet that can't be
/// placed with certainty is dropped: the caller sends again, and a wrong target would end
/// the flow.
///
/// The instance remembers the flows that it has seen, to judge the targets by them. This
/// memory is bounded and may be lost at any time without harm to a flow.

#include <kumquatpath/decision/target_selector.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <deque>
#include <optional>

namespace kumquatpath
{

/// The most flows that are remembered; more are steered all the same.
inline constexpr std::size_t max_tracked_flows = 131'072;

/// What is known of a packet that a caller sent.
struct flow_packet
{
    /// The same in all packets of a flow and in no other's.
    flow_id flow;
    endpoint caller;
    /// The address that the caller sent to.
    endpoint listener;
    flow_token token;
    /// The packet opens the flow.
    bool is_opening = false;
    /// How long ago the caller first sent this opening.
    duration age{0};
    /// The caller ends the flow, with or without ceremony.
    bool is_end = false;
    bool has_payload = false;
    /// Only where packets tell them.
    request_id request;
    tenant_id tenant;
    class_id traffic_class;
};

/// What is done with a packet.
enum class steering_verdict : std::uint8_t
{
    forward,
    no_route,
    no_target,
    unknown_token,
    /// As much is under way as the targets can work on: the opening waits.
    wait,
};

/// How many verdicts there are.
inline constexpr std::size_t steering_verdict_count = 5;

/// A verdict, and for steering_verdict::forward the place to send to.
struct steering_decision
{
    steering_verdict verdict = steering_verdict::no_route;
    target_index target = 0;
    flow_token token;
    /// The packet opened a flow, or a copy of it was placed anew.
    bool is_placement = false;
    /// Set by the packet that shows that the target has answered the opening: the time
    /// since it was sent.
    std::optional<duration> opening_time;
    /// Set by the packet that ends an answered flow: the time since it was opened.
    std::optional<duration> flow_time;
};

/// A flow that was seen.
struct tracked_flow
{
    target_index target = 0;
    target_key key;
    time_point opened_at;
    time_point placed_at;
    time_point answered_at;
    /// When the request was sent that has no answer yet; unset: none has.
    std::optional<time_point> request_sent_at;
    request_id request;
    time_point last_seen;
    /// How many targets the opening was sent to.
    std::uint8_t placements = 1;
    bool is_answered = false;
    /// The flow counts as load of its target.
    bool is_in_flight = false;
    /// The caller has ended it.
    bool is_ended = false;
    /// It was opened through another instance.
    bool is_opened_elsewhere = false;
};

/// An opening that is looked at again when its target should have answered.
struct pending_opening
{
    std::uint64_t flow = 0;
    time_point due;
};

/// The flow memory and the judgement of targets of one instance.
struct flow_steering
{
    boost::unordered_flat_map<std::uint64_t, tracked_flow> flows;
    /// In the order in which they were sent.
    std::deque<pending_opening> pending;
    target_selector selector;
    std::uint64_t random = 1;
    time_point next_sweep;
    /// When packets of flows that were opened elsewhere came, and how many in that span.
    time_point untracked_flows_since;
    std::uint32_t untracked_flows = 0;
    /// How many requests were answered or given up: each makes room for another.
    std::uint64_t finished_requests = 0;
};

/// Decides what happens to \p packet.
steering_decision steer(flow_steering& steering, const routing_table& table,
                        const target_directory& directory, const flow_packet& packet,
                        time_point now);

/// Looks for openings that are overdue and forgets flows that have ended. To be called
/// every 20 ms or so.
void review_flows(flow_steering& steering, const target_directory& directory,
                  time_point now);

} // namespace kumquatpath

#endif
