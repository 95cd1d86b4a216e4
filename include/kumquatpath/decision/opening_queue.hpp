#ifndef KUMQUATPATH_DECISION_OPENING_QUEUE_HPP
#define KUMQUATPATH_DECISION_OPENING_QUEUE_HPP

/// \file
/// Queue of openings that wait because their service has enough requests in flight.
///
/// After an outage or during a flood, more openings arrive than the targets can process.
/// The surplus would delay all requests if it waited in the targets' queues, so it waits
/// in this queue. Openings that can still be answered within their latency goal go first;
/// late openings take the capacity that is left. Among listeners, the one with the fewest
/// recent placements goes first, so a flood at one listener does not starve the others.
/// Among the openings of a listener, the newest goes first.
///
/// A queue that does not empty (a standing queue) means that more openings arrive than
/// can be placed. Most openings then wait in vain, and those placed late take capacity
/// from new ones. So while a listener has a standing queue, an opening that is not placed
/// soon is refused: it has not run, and all attempts of its caller still fit within the
/// latency goal. An opening whose caller has time for all its attempts one after another
/// waits until the caller is about to give up the attempt, because each attempt has a
/// chance to be placed late. So does an opening that is late when it arrives, as after an
/// outage.

#include <kumquatpath/decision/flow_steering.hpp>

#include <boost/unordered/unordered_flat_set.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace kumquatpath
{

/// The maximum number of queued openings; a new one then evicts the oldest.
inline constexpr std::size_t max_queued_openings = 4096;

/// An opening that waits.
struct queued_opening
{
    flow_packet packet;
    /// The caller's datagram as received, and the address it came from.
    std::vector<std::byte> datagram;
    endpoint source;
    /// When the caller first sent the opening.
    time_point first_sent_at;
    /// When this instance queued the opening.
    time_point queued_at;
    /// The latest time of placement that still allows an answer within the latency goal.
    time_point placement_deadline;
    /// The time that the caller allows for all its attempts together; 0: unknown.
    duration caller_timeout{0};
    /// The service whose targets the opening waits for; if the route has several, the
    /// first.
    service_id service;
    /// The other services of the route. Each attempt to place the opening draws one of
    /// them all.
    std::vector<service_id> further_services;
    /// See traffic_policy::priority.
    std::uint32_t priority = 0;
};

/// The recent placements and the queue of one listener.
struct listener_load
{
    /// Number of flows that were placed; it decays exponentially with age.
    double placed_flows = 0;
    time_point updated_at;
    /// Number of openings that wait.
    std::size_t waiting = 0;
    /// Since when at least one opening has been waiting; valid while \c waiting is not 0.
    time_point waiting_since;
};

/// All waiting openings, and the load of each listener.
struct opening_queue
{
    std::vector<queued_opening> openings;
    /// By the listener's packed address.
    boost::unordered_flat_map<std::uint64_t, listener_load> listeners;
    /// Number of openings that wait for the targets of each service. An opening whose
    /// route has several services counts for each of them.
    boost::unordered_flat_map<service_id, std::int64_t, std::hash<service_id>>
        waiting_by_service;
    /// The flows of the openings.
    boost::unordered_flat_set<std::uint64_t> flows;
};

/// Returns the services of \p matched_route except its first one.
std::vector<service_id> further_services_of(const route& matched_route);

/// Records that a flow of \p listener was placed, whether or not its opening had to wait.
void record_placement(opening_queue& queue, const endpoint& listener, time_point now);

/// Adds \p opening. A retransmission replaces the queued opening of its flow and keeps
/// the times of the replaced one. Returns the opening that was evicted from a full queue,
/// if any.
std::optional<queued_opening> add_opening(opening_queue& queue, queued_opening opening);

/// Returns the index of the opening to place next, or nothing if there is none. The order
/// is: openings that can still be answered in time before late ones, then listeners with
/// fewer recent placements, then newer openings. Openings of \p full_listeners are
/// skipped.
std::optional<std::size_t> next_opening(const opening_queue& queue,
                                        std::span<const endpoint> full_listeners,
                                        time_point now);

/// Removes and returns the opening at \p index. The last opening takes over the index.
queued_opening take_opening(opening_queue& queue, std::size_t index);

/// Removes and returns the openings at \p indices, which differ from each other, in the
/// order of \p indices. Other indices become invalid.
std::vector<queued_opening> take_openings(opening_queue& queue,
                                          std::span<const std::size_t> indices);

/// Returns the time after which a placement of \p opening is of no use: the placement
/// deadline; for a caller with time for all its attempts one after another, for an
/// opening that was late when it arrived and without a latency goal, the time at which
/// the caller is about to give up the attempt.
time_point last_useful_placement(const queued_opening& opening);

/// Removes and returns the openings to refuse: those that their callers are about to give
/// up and those that have waited too long in a standing queue.
std::vector<queued_opening> take_expired(opening_queue& queue, time_point now);

/// Removes and returns all openings.
std::vector<queued_opening> take_all(opening_queue& queue);

} // namespace kumquatpath

#endif
