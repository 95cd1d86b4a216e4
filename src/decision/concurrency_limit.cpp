#include <kumquatpath/decision/concurrency_limit.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The share of its latency goal that a request should take at its target.
constexpr double desired_goal_share = 0.45;
/// Upper bound of one sample, so that a lost request does not distort the mean.
constexpr double max_goal_share = 2;
constexpr double smoothing_factor = 0.1;
/// The smallest factor by which one change lowers the limit.
constexpr double min_decrease_factor = 0.4;
constexpr double growth_factor = 1.1;
constexpr double slow_start_growth_factor = 2;
constexpr double max_limit = 100'000;
constexpr duration min_change_interval = std::chrono::milliseconds(100);

void set_limit(concurrency_limit& limit, double max_in_flight, duration interval,
               time_point now)
{
    limit.max_in_flight = max_in_flight;
    limit.was_reached = false;
    limit.next_change = now + std::max(interval, min_change_interval);
}

} // namespace

bool may_start_request(concurrency_limit& limit, const service_load& load)
{
    limit.in_flight = load.in_flight;
    limit.min_in_flight =
        std::max(1.0, static_cast<double>(load.slots) / std::max(1U, load.instances));
    const bool may_start = load.in_flight < limit.max_in_flight;
    limit.was_reached = limit.was_reached || !may_start;
    return may_start;
}

void record_request_time(concurrency_limit& limit, duration time, duration goal,
                         time_point now)
{
    if (goal <= duration(0))
    {
        return;
    }
    const double share =
        std::clamp(milliseconds_of(time) / milliseconds_of(goal), 0.0, max_goal_share);
    limit.goal_share =
        limit.goal_share == 0
            ? share
            : limit.goal_share + smoothing_factor * (share - limit.goal_share);
    if (now < limit.next_change)
    {
        return;
    }
    if (limit.goal_share > desired_goal_share)
    {
        const double factor =
            std::max(min_decrease_factor, desired_goal_share / limit.goal_share);
        const double in_use = std::min(limit.max_in_flight, limit.in_flight + 1.0);
        limit.is_in_slow_start = false;
        // The requests in flight started under the old limit, so the next change has to
        // wait until they have ended.
        set_limit(limit, std::max(limit.min_in_flight, in_use * factor), time, now);
    }
    else if (limit.was_reached)
    {
        const double grown =
            limit.max_in_flight *
                (limit.is_in_slow_start ? slow_start_growth_factor : growth_factor) +
            1;
        set_limit(limit, std::min(max_limit, grown), time, now);
    }
}

} // namespace kumquatpath
