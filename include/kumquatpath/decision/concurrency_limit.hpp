#ifndef KUMQUATPATH_DECISION_CONCURRENCY_LIMIT_HPP
#define KUMQUATPATH_DECISION_CONCURRENCY_LIMIT_HPP

/// \file
/// Adaptive limit of the requests that an instance keeps in flight for one service.
///
/// Requests beyond the slots of all targets wait in the targets' queues and delay all
/// other requests. So each instance measures how large a share of the latency goal its
/// requests take. While the share is too large, the instance lowers its limit in
/// proportion. While the share is acceptable and the limit is reached, the instance
/// raises the limit. The instances exchange no data about this, because all of them
/// observe the same queues.

#include <kumquatpath/model/time.hpp>

#include <cstdint>

namespace kumquatpath
{

/// The limit of one service and the measurements that it follows.
struct concurrency_limit
{
    /// The limit: requests that may be in flight.
    double max_in_flight = 8;
    /// Requests that were in flight when the last request asked to start.
    std::uint32_t in_flight = 0;
    /// The lower bound of the limit: this instance's share of the targets' slots.
    double min_in_flight = 1;
    /// Smoothed share of the latency goal that requests take; 0: no request was answered.
    double goal_share = 0;
    /// A request had to wait since the limit last changed.
    bool was_reached = false;
    /// The limit has never been lowered, so it grows fast.
    bool is_in_slow_start = true;
    /// The earliest time of the next change; by then, the last one has taken effect.
    time_point next_change;
};

/// The load of a service when a request is about to start.
struct service_load
{
    /// Requests of this instance that are in flight to healthy targets.
    std::uint32_t in_flight = 0;
    /// Requests that the healthy targets together process at once.
    std::uint32_t slots = 0;
    /// Instances that send to these targets.
    std::uint32_t instances = 1;
};

/// Returns whether another request may start under \p load. Records \p load in \p limit
/// and, if the request may not start, that the limit was reached.
bool may_start_request(concurrency_limit& limit, const service_load& load);

/// Records that a request with the latency goal \p goal took \p time, and adjusts the
/// limit if a change is due. Does nothing if there is no goal (0).
void record_request_time(concurrency_limit& limit, duration time, duration goal,
                         time_point now);

} // namespace kumquatpath

#endif
