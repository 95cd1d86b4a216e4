#include <kumquatpath/decision/admission_lane.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// How much of its usual rate a lane is guaranteed.
constexpr double guarantee_factor = 1.5;
/// A guarantee's burst: some requests, and the work of some time, in seconds.
constexpr double burst_requests = 6;
constexpr double burst_seconds = 0.02;
constexpr duration usual_memory = std::chrono::seconds(30);
constexpr duration usual_memory_when_pressed = std::chrono::minutes(20);
constexpr duration roll_every = std::chrono::milliseconds(100);
/// What peers told stands for this long.
constexpr duration peer_usage_lasts = std::chrono::seconds(10);
constexpr double peer_weight = 0.3;
/// A peer that admits this part of what it is offered is taken to admit all.
constexpr double nearly_all = 0.95;
/// Answers after which a base is trusted, and over which it is averaged.
constexpr std::uint32_t least_samples = 32;
constexpr std::uint32_t base_memory_samples = 2000;

/// Returns the weight of an observation that stands for \p span.
double weight_of(duration span, duration memory) noexcept
{
    return 1 - std::exp(-in_seconds(span) / in_seconds(memory));
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

bucket_rate guarantee_of(const admission_lane& lane, time_point now) noexcept
{
    const bool is_young = now - lane.first_seen < usual_memory;
    const double own = lane.usual * guarantee_factor;
    const double rate = is_young ? std::max(own, peer_guarantee(lane, now)) : own;
    return {.per_second = rate, .depth = burst_requests + rate * burst_seconds};
}

void roll(admission_lane& lane, bool pressed, time_point now) noexcept
{
    refill(lane.guaranteed, guarantee_of(lane, now), now);
    const duration elapsed = now - lane.rolled;
    if (elapsed < roll_every)
    {
        return;
    }
    lane.rolled = now;
    const duration age = std::max(now - lane.first_seen, elapsed);
    const duration memory =
        pressed ? usual_memory_when_pressed : std::min(usual_memory, age);
    lane.usual += weight_of(elapsed, memory) * (rate_at(lane.admitted, now) - lane.usual);
}

void note_latency(admission_lane& lane, duration latency, bool pressed) noexcept
{
    base_latency& base = lane.base;
    if (pressed)
    {
        average(base.pressed_mean, base.pressed_samples, in_seconds(latency));
        return;
    }
    average(base.mean, base.samples, in_seconds(latency));
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
