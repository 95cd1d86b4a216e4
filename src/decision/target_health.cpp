#include <kumquatpath/decision/target_health.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// A target is silent when this many requests are unanswered for the time that its
/// answers may take, or any for this many times as long.
constexpr std::uint32_t least_unanswered = 3;
constexpr int patience_with_few = 3;
/// The bounds of the time that answers may take.
constexpr duration shortest_silence = std::chrono::milliseconds(500);
constexpr duration longest_silence = std::chrono::seconds(30);
/// The mean deviations beyond the mean latency that an answer may take.
constexpr double tolerated_deviations = 8;
constexpr double latency_weight = 0.05;
constexpr double refused_weight = 0.1;
/// A target that refuses this part of its requests is suspect.
constexpr double suspect_refused_part = 0.5;
constexpr duration first_probe_interval = std::chrono::milliseconds(500);
constexpr duration longest_probe_interval = std::chrono::seconds(5);
/// A request that may not be repeated tests a target only when no other did for so long.
constexpr duration last_resort = std::chrono::seconds(30);

target_evidence* find(target_health& health, target_id target) noexcept
{
    const auto found =
        std::ranges::lower_bound(health.targets, target, {}, &target_evidence::target);
    return found != health.targets.end() && found->target == target ? &*found : nullptr;
}

/// Returns how long an answer of the target may take.
duration patience(const target_evidence& seen) noexcept
{
    const std::chrono::duration<double> longest(seen.latency +
                                                tolerated_deviations * seen.deviation);
    return std::clamp(std::chrono::duration_cast<duration>(longest), shortest_silence,
                      longest_silence);
}

bool is_silent(const target_evidence& seen, time_point now) noexcept
{
    if (seen.unanswered == 0)
    {
        return false;
    }
    const bool are_few = seen.unanswered < least_unanswered;
    return now - seen.unanswered_since >
           patience(seen) * (are_few ? patience_with_few : 1);
}

void suspect(target_evidence& seen, time_point now) noexcept
{
    if (seen.is_suspect)
    {
        return;
    }
    seen.is_suspect = true;
    seen.probe_interval = first_probe_interval;
    seen.next_probe = now + first_probe_interval;
}

/// Takes a suspect target back in, slowly.
void trust(target_evidence& seen, time_point now) noexcept
{
    if (!seen.is_suspect)
    {
        return;
    }
    seen.is_suspect = false;
    seen.refused_part = 0;
    begin(seen.warming, now);
}

void hear(target_evidence& seen, time_point now) noexcept
{
    seen.heard = now;
    seen.unanswered = 0;
}

void end_request(target_evidence& seen) noexcept
{
    seen.in_flight -= seen.in_flight > 0 ? 1U : 0U;
}

} // namespace

void targets_are(target_health& health, std::span<const target_id> active, time_point now)
{
    std::vector<target_evidence> next;
    next.reserve(active.size());
    for (const target_id each : active)
    {
        const target_evidence* known = find(health, each);
        next.push_back(known != nullptr ? *known : target_evidence{.target = each});
        if (known == nullptr && health.has_started)
        {
            begin(next.back().warming, now);
        }
    }
    health.targets = std::move(next);
    health.has_started = true;
}

const target_evidence* evidence_of(const target_health& health, target_id target) noexcept
{
    const auto found =
        std::ranges::lower_bound(health.targets, target, {}, &target_evidence::target);
    return found != health.targets.end() && found->target == target ? &*found : nullptr;
}

void note_sent(target_health& health, target_id target, bool is_probe,
               time_point now) noexcept
{
    target_evidence* seen = find(health, target);
    if (seen == nullptr)
    {
        return;
    }
    ++seen->in_flight;
    ++seen->unanswered;
    if (seen->unanswered == 1)
    {
        seen->unanswered_since = now;
    }
    if (is_probe)
    {
        seen->probe_interval = std::min(seen->probe_interval * 2, longest_probe_interval);
        seen->next_probe = now + seen->probe_interval;
    }
    if (is_silent(*seen, now))
    {
        suspect(*seen, now);
    }
}

void note_heard(target_health& health, target_id target, time_point now) noexcept
{
    target_evidence* seen = find(health, target);
    if (seen != nullptr)
    {
        hear(*seen, now);
    }
}

void note_answer(target_health& health, target_id target, duration latency,
                 time_point now) noexcept
{
    target_evidence* seen = find(health, target);
    if (seen == nullptr)
    {
        return;
    }
    end_request(*seen);
    hear(*seen, now);
    const double seconds = std::chrono::duration<double>(latency).count();
    const double weight = seen->latency == 0 ? 1 : latency_weight;
    const double error = seconds - seen->latency;
    seen->latency += weight * error;
    seen->deviation += latency_weight * (std::abs(error) - seen->deviation);
    seen->refused_part -= refused_weight * seen->refused_part;
    trust(*seen, now);
    note_answer(seen->warming);
}

void note_refusal(target_health& health, target_id target, time_point now) noexcept
{
    target_evidence* seen = find(health, target);
    if (seen == nullptr)
    {
        return;
    }
    end_request(*seen);
    hear(*seen, now);
    seen->refused_part += refused_weight * (1 - seen->refused_part);
    if (seen->refused_part > suspect_refused_part)
    {
        suspect(*seen, now);
    }
}

void note_abandoned(target_health& health, target_id target, time_point now) noexcept
{
    target_evidence* seen = find(health, target);
    if (seen == nullptr)
    {
        return;
    }
    end_request(*seen);
    if (is_silent(*seen, now))
    {
        suspect(*seen, now);
    }
}

void note_report(target_health& health, target_id target, double load,
                 time_point now) noexcept
{
    target_evidence* seen = find(health, target);
    if (seen != nullptr)
    {
        seen->reported_load = load;
        seen->reported = now;
    }
}

target_assessment assess(const target_health& health, target_id target,
                         time_point now) noexcept
{
    const target_evidence* seen = evidence_of(health, target);
    if (seen == nullptr)
    {
        return target_assessment::healthy;
    }
    if (seen->is_suspect || is_silent(*seen, now))
    {
        return target_assessment::suspect;
    }
    return weight_of(seen->warming, now) < 1 ? target_assessment::cold
                                             : target_assessment::healthy;
}

bool is_probe_due(const target_evidence& seen, bool is_repeatable,
                  time_point now) noexcept
{
    return now >= seen.next_probe + (is_repeatable ? duration::zero() : last_resort);
}

} // namespace kumquatpath
