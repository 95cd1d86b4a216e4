#include <kumquatpath/decision/concurrency_limit.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The share of its latency goal that a request should take at its target.
constexpr double wanted_share = 0.45;
/// One request that was lost says no more than this.
constexpr double most_share = 2;
constexpr double smoothing = 0.1;
/// The most that one change takes away.
constexpr double least_factor = 0.4;
constexpr double growth = 1.1;
constexpr double starting_growth = 2;
constexpr double most_requests = 100'000;
constexpr duration least_pause = std::chrono::milliseconds(100);

void change(concurrency_limit& limit, double most, duration pause, time_point now)
{
    limit.most = most;
    limit.was_reached = false;
    limit.next_change = now + std::max(pause, least_pause);
}

} // namespace

bool has_room(concurrency_limit& limit, const service_load& load)
{
    limit.under_way = load.busy;
    limit.least =
        std::max(1.0, static_cast<double>(load.slots) / std::max(1U, load.instances));
    const bool has = load.busy < limit.most;
    limit.was_reached = limit.was_reached || !has;
    return has;
}

void note_request_time(concurrency_limit& limit, duration time, duration goal,
                       time_point now)
{
    if (goal <= duration(0))
    {
        return;
    }
    const double share =
        std::clamp(milliseconds_of(time) / milliseconds_of(goal), 0.0, most_share);
    limit.goal_share = limit.goal_share == 0
                           ? share
                           : limit.goal_share + smoothing * (share - limit.goal_share);
    if (now < limit.next_change)
    {
        return;
    }
    if (limit.goal_share > wanted_share)
    {
        const double factor = std::max(least_factor, wanted_share / limit.goal_share);
        const double used = std::min(limit.most, limit.under_way + 1.0);
        limit.is_starting = false;
        // What is under way was placed by the old limit: it must end first.
        change(limit, std::max(limit.least, used * factor), time, now);
    }
    else if (limit.was_reached)
    {
        const double grown =
            limit.most * (limit.is_starting ? starting_growth : growth) + 1;
        change(limit, std::min(most_requests, grown), time, now);
    }
}

} // namespace kumquatpath
