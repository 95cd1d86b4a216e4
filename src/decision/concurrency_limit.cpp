#include <kumquatpath/decision/admission_bucket.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// A window closes after this time, once it holds enough answers.
constexpr duration window_length = std::chrono::milliseconds(100);
constexpr double least_answers = 16;
/// The part of the answers that still counts in the next window.
constexpr double carried_part = 0.7;
/// The limit a newly known target adds.
constexpr double first_limit_per_target = 1;
constexpr double fastest_decrease = 0.7;
/// The part of the measured error that one window corrects, and that it corrects when
/// the inflation is far from the wanted one.
constexpr double gain = 0.15;
constexpr double high_gain = 0.5;
constexpr double high_inflation = 1.8;
constexpr double low_inflation = 1.1;
/// The part of all answers that is enough work that isn't flooded to go by.
constexpr double least_others = 0.03;
/// More silences than this part of all ends lower the limit.
constexpr double most_silences = 0.25;
constexpr double ceiling_decrease = 0.9;
constexpr double ceiling_growth = 1.05;
/// A limit that isn't needed falls by this factor a window, to this part of the most that
/// is in flight.
constexpr double resting_decrease = 0.95;
constexpr double resting_part = 0.5;
constexpr double resting_per_target = 0.25;
/// The inflation of latency that shrinks no limit.
constexpr double tolerated_inflation = 1.15;
/// The same while only flooded work is there, which waits for nobody but itself.
constexpr double tolerated_when_alone = 1.6;
/// The requests that the whole fleet may have waiting at a target. As every instance adds
/// its part of them whatever its limit is, limits that differ come together.
constexpr double queue_allowance = 0.45;
/// A pool that refuses this part of its work is pressed; only then does its limit grow.
constexpr double pressing_part = 0.05;
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

/// Returns the part of \p sum that still counts in the next window.
inflation_sum carried(const inflation_sum& sum) noexcept
{
    return {.inflation = sum.inflation * carried_part,
            .answers = sum.answers * carried_part};
}

double answers_in(const latency_window& window) noexcept
{
    return window.flooded.answers + window.others.answers;
}

/// Returns whether there is enough work that isn't flooded to go by.
bool others_decide(const latency_window& window) noexcept
{
    return window.others.answers >= answers_in(window) * least_others;
}

/// Returns the mean of the seen latency over the expected one; 1 when nothing is known.
double inflation_of(const latency_window& window) noexcept
{
    const bool without_flooded = others_decide(window);
    const double sum =
        window.others.inflation + (without_flooded ? 0 : window.flooded.inflation);
    const double answers =
        window.others.answers + (without_flooded ? 0 : window.flooded.answers);
    return answers > 0 ? sum / answers : 1;
}

/// Returns the part of its error that the limit corrects at once.
double gain_at(double inflation) noexcept
{
    const bool is_far = inflation > high_inflation || inflation < low_inflation;
    return is_far ? high_gain : gain;
}

/// Returns the limit that the answers of the window ask for.
double wanted_limit(const concurrency_limit& pool, double least) noexcept
{
    const latency_window& window = pool.window;
    if (window.silences > (answers_in(window) + window.silences) * most_silences)
    {
        return pool.limit * fastest_decrease;
    }
    if (window.unmeasured > window.others.answers)
    {
        return pool.limit;
    }
    const double inflation = inflation_of(window);
    const double part = gain_at(inflation);
    const double tolerated =
        others_decide(window) ? tolerated_inflation : tolerated_when_alone;
    const double change = 1 + part * (tolerated / inflation - 1);
    return pool.limit * std::max(change, fastest_decrease) +
           part * queue_allowance * least;
}

/// Lowers the ceiling while the latency is high although no surplus is let in.
void adapt_ceiling(concurrency_limit& pool, double least) noexcept
{
    const bool is_overloaded =
        pool.limit <= least && inflation_of(pool.window) > high_inflation;
    if (is_overloaded)
    {
        const double most = pool.window.most_in_flight;
        pool.ceiling = std::max(std::min(pool.ceiling, most) * ceiling_decrease, least);
        return;
    }
    pool.ceiling = std::min(pool.ceiling * ceiling_growth, highest_ceiling);
}

/// Lets the limit of a pool that refuses nothing fall back, so that the next flood finds
/// little room at first.
void rest(concurrency_limit& pool) noexcept
{
    const double small = resting_per_target * static_cast<double>(pool.active);
    const double resting = std::max(small, resting_part * pool.window.most_in_flight);
    pool.limit = std::max(pool.limit * resting_decrease, std::min(pool.limit, resting));
}

void close_window(concurrency_limit& pool, const fleet_usage& fleet,
                  time_point now) noexcept
{
    const latency_window& window = pool.window;
    const double refused = window.without_room + window.limited;
    if (refused > pressing_part * (window.started + refused))
    {
        pool.pressed_until = now + pressure_lasts;
    }
    const bool is_short =
        window.without_room > pressing_part * (window.started + refused);
    const double least = least_limit(pool, fleet);
    const double wanted = wanted_limit(pool, least);
    if (wanted < pool.limit || is_short)
    {
        const double most = most_per_target * static_cast<double>(pool.active);
        pool.limit = std::clamp(wanted, least, std::max(most, least));
    }
    if (!is_pressed(pool, now))
    {
        rest(pool);
    }
    adapt_ceiling(pool, least);
    pool.window = {.opened = now,
                   .flooded = carried(window.flooded),
                   .others = carried(window.others),
                   .unmeasured = window.unmeasured * carried_part,
                   .most_in_flight = pool.in_flight};
}

void count_sample(latency_window& window, const latency_sample& sample) noexcept
{
    if (sample.end == request_end::timed_out)
    {
        ++window.silences;
    }
    if (sample.end != request_end::answered)
    {
        return;
    }
    if (sample.expected <= duration::zero())
    {
        window.unmeasured += sample.is_flooded ? 0 : 1;
        return;
    }
    inflation_sum& sum = sample.is_flooded ? window.flooded : window.others;
    sum.answers += 1;
    sum.inflation += in_seconds(sample.latency) / in_seconds(sample.expected);
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
    const auto active = static_cast<double>(std::max<std::size_t>(pool.active, 1));
    const double part = pool.limit * fraction / active;
    return at->surplus < std::floor(part + dither(fleet, target.value));
}

bool is_below_ceiling(const concurrency_limit& pool, double fraction) noexcept
{
    return pool.in_flight < std::max(pool.ceiling * fraction, 1.0);
}

bool is_pressed(const concurrency_limit& pool, time_point now) noexcept
{
    return now < pool.pressed_until;
}

void note_pressed_peers(concurrency_limit& pool, time_point now) noexcept
{
    if (!is_pressed(pool, now))
    {
        const double small = resting_per_target * static_cast<double>(pool.active);
        pool.limit = std::min(pool.limit, small);
    }
    pool.pressed_until = now + pressure_lasts;
}

void note_no_room(concurrency_limit& pool) noexcept
{
    ++pool.window.without_room;
}

void note_limited(concurrency_limit& pool) noexcept
{
    ++pool.window.limited;
}

void note_started(concurrency_limit& pool, target_id target, room_kind kind) noexcept
{
    ++pool.in_flight;
    pool.window.most_in_flight = std::max(pool.window.most_in_flight, pool.in_flight);
    ++pool.window.started;
    target_occupancy* at = find(pool, target);
    if (at != nullptr)
    {
        ++at->in_flight;
        at->surplus += kind == room_kind::surplus ? 1U : 0U;
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
        at->surplus -= sample.kind == room_kind::surplus && at->surplus > 0 ? 1U : 0U;
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
    const bool is_full = answers_in(pool.window) + pool.window.silences >= least_answers;
    if (is_full && now - pool.window.opened >= window_length)
    {
        close_window(pool, fleet, now);
    }
}

} // namespace kumquatpath
