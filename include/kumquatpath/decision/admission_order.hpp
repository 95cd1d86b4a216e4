#ifndef KUMQUATPATH_DECISION_ADMISSION_ORDER_HPP
#define KUMQUATPATH_DECISION_ADMISSION_ORDER_HPP

/// \file
/// Order in which waiting openings are admitted when not all of them fit.
///
/// The targets of a service are the room that openings compete for. Each listener is
/// guaranteed a small share of the recent placements of its service, so a flood of urgent
/// requests does not starve the others. Apart from that, more urgent openings go first;
/// then those that can still be answered in time; then those of the listener with the
/// fewest recent placements. Among the callers of a listener, the one with the fewest
/// recent placements goes first, then the one with the newest opening. Among the openings
/// of a caller, the one whose time runs out first goes first.
///
/// The queue ahead of an opening and the measured rate of placements give an estimate of
/// its wait. An opening whose estimate exceeds the time in which its placement is of use
/// is refused, so that its caller can try again early.

#include <kumquatpath/decision/opening_queue.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatpath
{

/// The maximum number of callers whose placements are counted. When the table is full, a
/// caller that is not in it counts as one without recent placements.
inline constexpr std::size_t max_counted_callers = 4096;

/// A count that decays exponentially with age.
struct decaying_count
{
    double value = 0;
    time_point updated_at;
};

/// The recent placements on the targets of one service.
struct service_placements
{
    decaying_count recent;
    /// When the first of them was counted.
    time_point counted_since;
};

/// The recent placements of one instance. A restart starts from none, so there is no
/// estimate until enough placements were seen.
struct admission_order
{
    /// By the listener's packed address.
    boost::unordered_flat_map<std::uint64_t, decaying_count> listeners;
    /// By a hash of the listener and the caller's address without its port.
    boost::unordered_flat_map<std::uint64_t, decaying_count> callers;
    boost::unordered_flat_map<service_id, service_placements, std::hash<service_id>>
        services;
    /// When expired callers are next removed from the full table.
    time_point next_caller_sweep;
    /// The earliest time of the next plan; see begin_plan_if_due().
    time_point next_plan;
};

/// The waiting openings of one listener and priority, in the order of admission.
struct planned_class
{
    endpoint listener;
    service_id service;
    std::uint32_t priority = 0;
    /// Indices in opening_queue::openings. Those from \c first_late cannot be answered in
    /// time.
    std::vector<std::size_t> openings;
    std::size_t first_late = 0;
    /// The position of the next opening in \c openings.
    std::size_t next = 0;
    /// Recent placements of the listener, and the number up to which they are guaranteed.
    double placed = 0;
    double guaranteed = 0;
};

/// The order of the openings that waited when the plan was made. It holds until an
/// opening is added to the queue or taken from it.
struct admission_plan
{
    std::vector<planned_class> classes;
};

/// An opening that is refused because of its estimate.
struct unservable_opening
{
    queued_opening opening;
    duration estimated_wait{0};
    /// Openings for the same service that go before it; more urgent ones among them.
    std::size_t ahead = 0;
    std::size_t more_urgent_ahead = 0;
};

// Queries.

/// Returns the rate of placements on the targets of \p service, per second, or nothing
/// while too few were seen.
std::optional<double> placement_rate(const admission_order& order, service_id service,
                                     time_point now);

/// Returns whether an opening waits for the targets of \p service.
bool is_awaited(const opening_queue& queue, service_id service);

/// Returns the order in which the openings of \p queue are admitted.
admission_plan plan_admissions(const admission_order& order, const opening_queue& queue,
                               time_point now);

/// Returns whether \p verdict on an opening that had waited is final: its route is gone
/// from the configuration, so no retransmission can be placed. Without a target, one may
/// be announced before the next retransmission.
bool is_final(steering_verdict verdict);

// Commands.

/// Returns whether a plan for \p queued openings may be made, and if so, sets the pause
/// until the next one. The pause grows with the queue, so plans take a bounded share of
/// the processor.
bool begin_plan_if_due(admission_order& order, std::size_t queued, time_point now);

/// Records that an opening of \p caller to \p listener was placed on a target of
/// \p service, whether or not it had to wait.
void record_admission(admission_order& order, const endpoint& listener,
                      const endpoint& caller, service_id service, time_point now);

/// Removes the next opening from \p plan, counts it as placed and returns its index in
/// the queue, or nothing if there is none left.
std::optional<std::size_t> next_admission(admission_plan& plan);

/// Removes the openings of \p listener from \p plan, because its targets have no room.
void remove_listener(admission_plan& plan, const endpoint& listener);

/// Removes and returns the openings of \p queue that cannot be placed while that is of
/// use to their callers.
std::vector<unservable_opening> take_unservable(const admission_order& order,
                                                opening_queue& queue, time_point now);

} // namespace kumquatpath

#endif
