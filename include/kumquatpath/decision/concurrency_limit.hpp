#ifndef KUMQUATPATH_DECISION_CONCURRENCY_LIMIT_HPP
#define KUMQUATPATH_DECISION_CONCURRENCY_LIMIT_HPP

/// \file
/// How many requests of one service an instance has under way at once.
///
/// What is beyond all targets' slots waits in their queues and makes everything late. So
/// each instance watches how long requests take, by the shares of their latency goals:
/// while they take too large a share it lowers its limit in proportion, and while they
/// don't and the limit is reached it raises it. The instances need not tell each other
/// anything: all see the same queues.

#include <kumquatpath/model/time.hpp>

#include <cstdint>

namespace kumquatpath
{

/// The limit of one service.
struct concurrency_limit
{
    /// Requests that may be under way.
    double max_in_flight = 8;
    /// Requests that were under way when the last one was to start.
    std::uint32_t in_flight = 0;
    /// The fewest that may be under way: this instance's share of the targets' slots.
    double min_in_flight = 1;
    /// Smoothed share of the latency goal that requests take; 0: none was answered.
    double goal_share = 0;
    /// A request had to wait since the last change.
    bool was_reached = false;
    /// The limit was never lowered: it grows fast.
    bool is_in_slow_start = true;
    /// When the last change has shown its effect.
    time_point next_change;
};

/// What is known of a service when a request is to start.
struct service_load
{
    /// Requests of this instance that are under way.
    std::uint32_t in_flight = 0;
    /// What the targets work on at once.
    std::uint32_t slots = 0;
    /// The instances that send to them.
    std::uint32_t instances = 1;
};

/// Returns whether another request may start under \p load; if not, notes it.
bool may_start_request(concurrency_limit& limit, const service_load& load);

/// Notes that a request took \p time of \p goal. A goal of 0 says nothing.
void note_request_time(concurrency_limit& limit, duration time, duration goal,
                       time_point now);

} // namespace kumquatpath

#endif
