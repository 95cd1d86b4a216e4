#include <kumquatpath/decision/target_load.hpp>

#include <algorithm>
#include <optional>

namespace kumquatpath
{
namespace
{

/// A target whose answers take this many times as long as those of the service on
/// average is overloaded.
constexpr double overloaded_latency = 3;
/// No more than this part of the flows leaves an overloaded target.
constexpr double most_leaving = 0.5;
/// The part of a suspect target's flows that may test it, so that tests stay rare where
/// traffic is.
constexpr double probe_part = 0.03;
/// Draws before a flow stays with its slot.
constexpr int most_draws = 8;

/// What is known of the targets of one service as a whole.
struct service_view
{
    std::size_t suspects = 0;
    std::size_t measured = 0;
    double latency = 0;
};

service_view view_of(const target_health& health, const choice_options& options,
                     time_point now) noexcept
{
    service_view view;
    for (const target_id each : options.active)
    {
        const target_evidence* seen = evidence_of(health, each);
        if (seen == nullptr || seen->latency == 0)
        {
            continue;
        }
        ++view.measured;
        view.latency += seen->latency;
        view.suspects +=
            assess(health, each, now) == target_assessment::suspect ? 1U : 0U;
    }
    view.latency /= static_cast<double>(std::max<std::size_t>(view.measured, 1));
    return view;
}

/// Returns the part of its flows that should leave a target that isn't suspect.
double leaving_part(const target_evidence& seen, const service_view& view,
                    time_point now) noexcept
{
    const double cold = 1 - weight_of(seen.warming, now);
    const bool is_slow = seen.latency > overloaded_latency * view.latency;
    const double slow =
        is_slow ? 1 - overloaded_latency * view.latency / seen.latency : 0;
    return std::max(cold, std::min(std::max(slow, seen.refused_part), most_leaving));
}

/// Draws one target that could take the flow in place of its slot's.
const target_evidence* draw(const target_health& health, random_source& random,
                            const choice_options& options, time_point now) noexcept
{
    const std::size_t place = next_below(random, options.active.size());
    const target_id drawn = options.active[place];
    const target_evidence* seen = evidence_of(health, drawn);
    const bool is_other = drawn != options.slot_target && seen != nullptr;
    if (!is_other || assess(health, drawn, now) == target_assessment::suspect)
    {
        return nullptr;
    }
    const bool is_taken = next_unit(random) < weight_of(seen->warming, now);
    return is_taken ? seen : nullptr;
}

std::optional<target_id> better_of_two(const target_health& health, random_source& random,
                                       const choice_options& options,
                                       time_point now) noexcept
{
    const target_evidence* best = nullptr;
    int found = 0;
    for (int i = 0; i < most_draws && found < 2; ++i)
    {
        const target_evidence* drawn = draw(health, random, options, now);
        if (drawn == nullptr || drawn == best)
        {
            continue;
        }
        ++found;
        const bool is_better =
            best == nullptr || score_of(*drawn, now) < score_of(*best, now);
        best = is_better ? drawn : best;
    }
    return best != nullptr ? std::optional(best->target) : std::nullopt;
}

} // namespace

double next_unit(random_source& random) noexcept
{
    constexpr double range = 0x1p-53;
    return static_cast<double>(mix(random.seed, ++random.drawn) >> 11U) * range;
}

std::size_t next_below(random_source& random, std::size_t count) noexcept
{
    return static_cast<std::size_t>(mix(random.seed, ++random.drawn) % count);
}

double score_of(const target_evidence& seen, time_point now) noexcept
{
    const bool has_answered = seen.latency > 0;
    const double waiting = has_answered ? seen.in_flight : seen.reported_load;
    const double latency = has_answered ? seen.latency : 1;
    const double useful = 1 - std::min(seen.refused_part, 0.99);
    return (waiting + 1) * latency / useful / weight_of(seen.warming, now);
}

target_choice choose_target(const target_health& health, random_source& random,
                            const choice_options& options, time_point now) noexcept
{
    const target_choice stay{.target = options.slot_target};
    const target_evidence* seen = evidence_of(health, options.slot_target);
    if (seen == nullptr || options.active.size() < 2)
    {
        return stay;
    }
    const bool is_suspect =
        assess(health, options.slot_target, now) == target_assessment::suspect;
    const service_view view = view_of(health, options, now);
    if (is_suspect && view.suspects * 2 > options.active.size())
    {
        return stay;
    }
    const bool may_probe = is_suspect && is_probe_due(*seen, options.is_repeatable, now);
    if (may_probe && next_unit(random) < probe_part)
    {
        return {.target = options.slot_target, .is_probe = true};
    }
    if (!is_suspect && next_unit(random) >= leaving_part(*seen, view, now))
    {
        return stay;
    }
    const auto other = better_of_two(health, random, options, now);
    return other ? target_choice{.target = *other, .deviates = true} : stay;
}

} // namespace kumquatpath
