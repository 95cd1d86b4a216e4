#ifndef KUMQUATPATH_DECISION_FLOW_STEERING_HPP
#define KUMQUATPATH_DECISION_FLOW_STEERING_HPP

/// \file
/// Decides to which target each packet of a flow is forwarded.
///
/// Every packet of an open flow carries the token of the flow's target, because the
/// target and the caller echo the token that they last received. So every instance can
/// forward such a packet to the right target by the packet alone. Only the packet that
/// opens a flow, called the opening, is placed on a target by load; its listener
/// determines the candidates. A packet whose target is not certain is dropped: the caller
/// retransmits it, whereas a wrong target would end the flow.
///
/// A flow whose target has ended, as far as ended_flows.hpp can tell, is reset, so that
/// its caller can try again instead of waiting until its deadline.
///
/// An instance tracks the flows that it has seen in order to measure their targets. The
/// flow table is bounded and may be lost at any time without harm to a flow.

#include <kumquatpath/decision/target_selector.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <deque>
#include <optional>

namespace kumquatpath
{

/// The time after which a caller has given up an unanswered opening.
inline constexpr duration opening_lifetime = std::chrono::milliseconds(1500);

/// The maximum number of tracked flows; further flows are steered without tracking.
inline constexpr std::size_t max_tracked_flows = 131'072;

/// The properties of a caller's packet that steering depends on.
struct flow_packet
{
    /// Identifies the flow: all packets of a flow have it, and no packet of another flow.
    flow_id flow;
    endpoint caller;
    /// The address that the caller sent to.
    endpoint listener;
    flow_token token;
    /// The packet opens the flow.
    bool is_opening = false;
    /// Time since the caller first sent this opening.
    duration age{0};
    /// The caller ends the flow, by closing or by aborting it.
    bool is_end = false;
    bool has_payload = false;
    /// Where the payload stands in the flow: a retransmission has the same position. Set
    /// only by packet formats that carry it.
    std::optional<std::uint32_t> payload_position;
    /// The request, tenant and class are set only by packet formats that carry them.
    request_id request;
    tenant_id tenant;
    class_id traffic_class;
};

/// What happens to a packet.
enum class steering_verdict : std::uint8_t
{
    forward,
    no_route,
    no_target,
    unknown_token,
    /// All healthy targets are full or the concurrency limit is reached, so the opening
    /// has to wait.
    wait,
    /// Only targets of evacuated data centres are left, so the opening is refused.
    evacuated,
    /// The service's only targets warm up and have used up their limit for now, so the
    /// opening is to be refused.
    warm_up_limit,
    /// The flow's target has ended, so the flow is to be reset.
    target_ended,
};

/// The number of enumerators of steering_verdict.
inline constexpr std::size_t steering_verdict_count = 8;

/// A verdict and, for steering_verdict::forward, the target to send to.
struct steering_decision
{
    steering_verdict verdict = steering_verdict::no_route;
    target_index target = 0;
    flow_token token;
    /// The packet opened a flow, or is a retransmitted opening that was placed on another
    /// target.
    bool is_placement = false;
    /// Time since the opening was forwarded; set for the first packet which shows that a
    /// target has answered the opening.
    std::optional<duration> opening_time;
    /// Time since the flow was opened; set for the packet that ends an answered flow.
    std::optional<duration> flow_time;
    /// Why the flow was placed in another data centre; set only with
    /// selection_options::measures_distance.
    std::optional<remote_reason> remote;
};

/// An entry of the flow table.
struct tracked_flow
{
    target_index target = 0;
    /// Identifies the target, since its index may be reused by another target.
    target_key key;
    /// The target's incarnation when the flow was placed.
    std::uint64_t incarnation = 0;
    time_point opened_at;
    time_point placed_at;
    time_point answered_at;
    /// When the request that awaits its answer was sent; unset: there is none.
    std::optional<time_point> request_sent_at;
    request_id request;
    /// The position of the last payload, and when a packet with it was first seen.
    std::optional<std::uint32_t> payload_position;
    time_point payload_seen_at;
    time_point last_seen;
    /// Number of times that the opening was placed on a target.
    std::uint8_t placements = 1;
    bool is_answered = false;
    /// The flow counts as load of its target.
    bool is_in_flight = false;
    /// The caller has ended the flow.
    bool is_ended = false;
    /// The flow was opened through another instance.
    bool is_opened_elsewhere = false;
    /// The flow keeps its target even if the token in its packets changes.
    bool is_pinned = false;
    /// A second try was sent; the next two are valid only then.
    bool has_second_try = false;
    /// The target of the first placement, and when the opening was sent to it.
    target_index first_target = 0;
    /// The service and data centre of the target as whose load the flow counts; valid
    /// while is_in_flight and selection_options::measures_distance.
    service_id service;
    data_centre_id data_centre;
};

/// An opening to be checked when its target should have answered.
struct pending_opening
{
    std::uint64_t flow = 0;
    /// The target that it was sent to; the key identifies the target, since its index may
    /// be reused.
    target_index target = 0;
    target_key key;
    time_point due;
    time_point sent_at;
};

/// The flow table and the target selection of one instance.
struct flow_steering
{
    boost::unordered_flat_map<std::uint64_t, tracked_flow> flows;
    /// In the order in which the openings were sent.
    std::deque<pending_opening> pending;
    target_selector selector;
    /// A flow whose acknowledgement of the target arrives here stays at that target. For
    /// callers that may put the token of another target into later packets.
    bool pins_flows = false;
    std::uint64_t random = 1;
    time_point next_sweep;
    /// Start of the current window of rehash detection, and the number of flows opened
    /// through another instance whose first packet here arrived in this window. A flow
    /// that is not tracked is counted again with each packet.
    time_point rehash_window_start;
    std::uint32_t flows_opened_elsewhere = 0;
    /// When a flow was last placed here without being tracked, because the table was
    /// full; unset: never. Its packets look like those of a flow opened elsewhere.
    std::optional<time_point> last_untracked_at;
    /// When a packet of a flow opened through another instance last started or continued
    /// such a window; unset: never.
    std::optional<time_point> last_opened_elsewhere_at;
    /// When a rehash was last detected; unset: never.
    std::optional<time_point> last_rehash_at;
    /// Number of requests that ended, answered or given up; each end frees capacity for
    /// another request.
    std::uint64_t finished_requests = 0;
    /// Number of retransmitted openings that went to another target because the data
    /// centre of their first one was evacuated.
    std::uint64_t openings_moved_by_evacuation = 0;
};

/// Returns whether the target of \p flow has answered an opening that was sent after the
/// one of \p flow. If so, the target is alive and a packet was lost.
bool is_target_alive(flow_steering& steering, const target_directory& directory,
                     const tracked_flow& flow);

/// Places the unanswered opening of \p flow, whose identity is \p id, on \p target as
/// well, which the instance itself decided: a second try.
void place_second_try(flow_steering& steering, const target_directory& directory,
                      flow_id id, tracked_flow& flow, target_index target,
                      time_point now);

/// Returns whether the request of \p packet may run more than once. Without a route it
/// may not.
bool is_repeatable(const routing_table& table, const flow_packet& packet);

/// Returns whether the fabric is rehashing flows, so that unanswered openings say nothing
/// about their targets.
bool is_rehashing(const flow_steering& steering, time_point now);

/// Decides what happens to \p packet and updates the flow table.
steering_decision steer(flow_steering& steering, const routing_table& table,
                        const target_directory& directory, const flow_packet& packet,
                        time_point now);

/// Detects overdue openings and removes ended and idle flows from the flow table. To be
/// called about every 50 ms.
void review_flows(flow_steering& steering, const target_directory& directory,
                  time_point now);

} // namespace kumquatpath

#endif
