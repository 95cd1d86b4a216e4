#include <kumquatpath/decision/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// A window closes after this time, once it holds enough answers.
constexpr duration window_length = std::chrono::milliseconds(100);
constexpr std::uint32_t least_answers = 16;
/// The limit a newly known target adds.
constexpr double first_limit_per_target = 1;
/// One window changes the limit by no more than these factors.
constexpr double fastest_growth = 1.1;
constexpr double fastest_decrease = 0.7;
/// The part of the measured error that one window corrects.
constexpr double gain = 0.5;
/// The limit grows only while at least this part of it is in use.
constexpr double least_use = 0.5;
/// The limit stays below this for each target.
constexpr double most_per_target = 1024;
constexpr duration pressure_lasts = std::chrono::seconds(2);
constexpr duration first_back_off = std::chrono::milliseconds(20);
constexpr duration longest_back_off = std::chrono::seconds(1);

/// Returns the entry of \p target in \p pool, which may be const, or nothing.
template <class Pool>
auto find(Pool& pool, target_id target) noexcept -> decltype(&*pool.targets.begin())
{
    const auto found =
        std::ranges::lower_bound(pool.targets, target, {}, &target_occupancy::target);
    return found != pool.targets.end() && found->target == target ? &*found : nullptr;
}

/// Returns the limit below which the fleet would not hold one request a target.
double least_limit(const concurrency_limit& pool, const fleet_usage& fleet) noexcept
{
    return static_cast<double>(pool.active) / static_cast<double>(fleet.instances);
}

void shun(target_occupancy& target, time_point now) noexcept
{
    target.back_off = std::clamp(target.back_off * 2, first_back_off, longest_back_off);
    target.shunned_until = now + target.back_off;
}

/// Returns the factor by which the answers of \p window ask the limit to change.
double wanted_change(const latency_window& window) noexcept
{
    const std::uint32_t ends = window.answers + window.silences;
    if (window.silences * 10 > ends)
    {
        return fastest_decrease;
    }
    if (window.expected <= 0)
    {
        return 1;
    }
    const double inflation = window.observed / window.expected;
    return std::clamp(1 + gain * (wanted_inflation / inflation - 1), fastest_decrease,
                      fastest_growth);
}

void close_window(concurrency_limit& pool, const fleet_usage& fleet,
                  time_point now) noexcept
{
    const latency_window& window = pool.window;
    const double change = wanted_change(window);
    const bool is_used =
        window.was_refused || window.most_in_flight >= least_use * pool.limit;
    if (change < 1 || is_used)
    {
        const double most = most_per_target * static_cast<double>(pool.active);
        pool.limit = std::clamp(pool.limit * change, least_limit(pool, fleet),
                                std::max(most, least_limit(pool, fleet)));
    }
    pool.window = {.opened = now, .most_in_flight = pool.in_flight};
}

void count_sample(latency_window& window, const latency_sample& sample) noexcept
{
    if (sample.end == request_end::timed_out)
    {
        ++window.silences;
    }
    if (sample.end != request_end::answered || sample.expected <= duration::zero())
    {
        return;
    }
    ++window.answers;
    window.observed += std::chrono::duration<double>(sample.latency).count();
    window.expected += std::chrono::duration<double>(sample.expected).count();
}

} // namespace

void targets_are(concurrency_limit& pool, std::span<const target_id> active)
{
    std::vector<target_occupancy> next;
    next.reserve(active.size());
    for (const target_id each : active)
    {
        const target_occupancy* known = find(pool, each);
        next.push_back(known != nullptr ? *known : target_occupancy{.target = each});
    }
    for (const target_occupancy& each : pool.targets)
    {
        if (each.in_flight > 0 && !std::ranges::binary_search(active, each.target))
        {
            next.push_back(each);
        }
    }
    std::ranges::sort(next, {}, &target_occupancy::target);
    const double per_target = pool.active == 0
                                  ? first_limit_per_target
                                  : pool.limit / static_cast<double>(pool.active);
    pool.targets = std::move(next);
    pool.active = active.size();
    pool.limit = per_target * static_cast<double>(active.size());
}

bool has_room(const concurrency_limit& pool, const fleet_usage& fleet, target_id target,
              double fraction, time_point now) noexcept
{
    const target_occupancy* at = find(pool, target);
    if (at == nullptr || now < at->shunned_until)
    {
        return false;
    }
    const double usable = pool.limit * fraction;
    const double part =
        usable / static_cast<double>(std::max<std::size_t>(pool.active, 1));
    const double most = std::floor(part + dither(fleet, target.value));
    return at->in_flight < most && pool.in_flight < usable;
}

bool is_pressed(const concurrency_limit& pool, time_point now) noexcept
{
    return now < pool.pressed_until;
}

void note_no_room(concurrency_limit& pool, time_point now) noexcept
{
    note_limited(pool, now);
    pool.window.was_refused = true;
}

void note_limited(concurrency_limit& pool, time_point now) noexcept
{
    pool.pressed_until = now + pressure_lasts;
}

void note_started(concurrency_limit& pool, target_id target) noexcept
{
    ++pool.in_flight;
    pool.window.most_in_flight = std::max(pool.window.most_in_flight, pool.in_flight);
    target_occupancy* at = find(pool, target);
    if (at != nullptr)
    {
        ++at->in_flight;
    }
}

void note_ended(concurrency_limit& pool, const fleet_usage& fleet, target_id target,
                const latency_sample& sample, time_point now) noexcept
{
    pool.in_flight -= pool.in_flight > 0 ? 1U : 0U;
    target_occupancy* at = find(pool, target);
    if (at != nullptr)
    {
        at->in_flight -= at->in_flight > 0 ? 1U : 0U;
    }
    if (at != nullptr && sample.end == request_end::refused_by_target)
    {
        shun(*at, now);
    }
    if (at != nullptr && sample.end == request_end::answered)
    {
        at->back_off = duration::zero();
    }
    count_sample(pool.window, sample);
    const bool is_full = pool.window.answers + pool.window.silences >= least_answers;
    if (is_full && now - pool.window.opened >= window_length)
    {
        close_window(pool, fleet, now);
    }
}

} // namespace kumquatpath
