#include <kumquatpath/decision/admission_lane.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// How much of its usual rate a lane is guaranteed.
constexpr double guarantee_factor = 2;
/// A guarantee's burst: some requests, and the work of some time, in seconds.
constexpr double burst_requests = 6;
constexpr double burst_seconds = 0.02;
constexpr duration usual_memory = std::chrono::seconds(30);
constexpr duration usual_memory_when_refused = std::chrono::minutes(20);
constexpr duration shortest_memory = std::chrono::seconds(1);
/// The weight of one request in the part that is refused.
constexpr double refused_weight = 0.05;
/// A lane that is offered this many times its usual rate, and some requests a second
/// more, is flooded.
constexpr double flooded_factor = 2.5;
constexpr double flooded_rate = 5;
/// A lane of which more is refused hardly learns what is usual.
constexpr double most_refused = 0.5;
/// What peers told stands for this long.
constexpr duration peer_usage_lasts = std::chrono::seconds(10);
constexpr double peer_weight = 0.3;
/// A peer that admits this part of what it is offered is taken to admit all.
constexpr double nearly_all = 0.95;
/// The time in which an instance hears from its peers whether they refuse work.
constexpr duration base_waits = std::chrono::seconds(3);
/// Answers after which a base is trusted, and over which it is averaged.
constexpr std::uint32_t least_samples = 32;
constexpr std::uint32_t base_memory_samples = 2000;
constexpr std::uint32_t most_pressed_samples = 64;

/// Returns the time over which the lane learns what is usual.
duration memory_of(const admission_lane& lane, time_point now) noexcept
{
    if (lane.refused_part > most_refused)
    {
        return usual_memory_when_refused;
    }
    return std::clamp(now - lane.first_seen, shortest_memory, usual_memory);
}

void average(double& mean, std::uint32_t& samples, double value) noexcept
{
    samples = std::min(samples + 1, base_memory_samples);
    mean += (value - mean) / samples;
}

/// Returns whether a peer told of the lane lately.
bool has_peer_usage(const admission_lane& lane, time_point now) noexcept
{
    return lane.peer_heard && now - *lane.peer_heard < peer_usage_lasts;
}

/// Returns the rate that peers stand surety for.
double peer_guarantee(const admission_lane& lane, time_point now) noexcept
{
    if (!has_peer_usage(lane, now))
    {
        return 0;
    }
    return lane.peer_admitted * (lane.peers_admit_all ? guarantee_factor : 1);
}

} // namespace

bool is_flooded(const admission_lane& lane, time_point now) noexcept
{
    return rate_at(lane.offered, now) > lane.usual * flooded_factor + flooded_rate;
}

bucket_rate guarantee_of(const admission_lane& lane, time_point now) noexcept
{
    const bool is_young = now - lane.first_seen < usual_memory;
    const double own = lane.usual * (is_flooded(lane, now) ? 1 : guarantee_factor);
    const double rate = is_young ? std::max(own, peer_guarantee(lane, now)) : own;
    return {.per_second = rate, .depth = burst_requests + rate * burst_seconds};
}

void roll(admission_lane& lane, time_point now) noexcept
{
    refill(lane.guaranteed, guarantee_of(lane, now), now);
    const duration elapsed = std::max(now - lane.rolled, duration::zero());
    lane.usual *= std::exp(-in_seconds(elapsed) / in_seconds(memory_of(lane, now)));
    lane.rolled = now;
}

void note_decision(admission_lane& lane, bool is_admitted, time_point now) noexcept
{
    lane.refused_part += refused_weight * ((is_admitted ? 0 : 1) - lane.refused_part);
    note_event(lane.offered, now);
    if (is_admitted)
    {
        note_event(lane.admitted, now);
        lane.usual += 1 / in_seconds(memory_of(lane, now));
    }
}

void note_latency(admission_lane& lane, duration latency, bool pressed,
                  time_point now) noexcept
{
    base_latency& base = lane.base;
    const bool is_young = now - lane.first_seen < base_waits;
    if (!pressed && !is_young)
    {
        average(base.mean, base.samples, in_seconds(latency));
        return;
    }
    // A mean that went on would follow the latency that it is meant to limit.
    if (base.pressed_samples < most_pressed_samples)
    {
        average(base.pressed_mean, base.pressed_samples, in_seconds(latency));
    }
}

duration expected_latency(const admission_lane& lane) noexcept
{
    const base_latency& base = lane.base;
    double expected = 0;
    if (base.samples >= least_samples)
    {
        expected = base.mean;
    }
    else if (base.pressed_samples >= least_samples)
    {
        // The peers hold the latency at the wanted inflation while work is refused.
        expected = base.pressed_mean / wanted_inflation;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(expected));
}

void note_peer_usage(admission_lane& lane, const usage& told, time_point now) noexcept
{
    const double told_rate = std::max(static_cast<double>(told.admitted), 0.0);
    const double weight = has_peer_usage(lane, now) ? peer_weight : 1;
    lane.peer_admitted += weight * (told_rate - lane.peer_admitted);
    lane.peers_admit_all = told.admitted >= nearly_all * told.offered;
    lane.peer_heard = now;
}

} // namespace kumquatpath
