#include <kumquatpath/decision/admission_order.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace kumquatpath
{
namespace
{

/// The time in which a count of placements decays to 1/e, about a third.
constexpr duration decay_time = std::chrono::seconds(1);
/// The share of a service's placements that is guaranteed to its listeners together.
constexpr double guaranteed_share = 0.2;
/// A caller or listener with fewer recent placements counts as one without.
constexpr double min_count = 0.5;
/// Fewer recent placements give no estimate.
constexpr double min_placements_for_estimate = 5;
constexpr duration caller_sweep_interval = std::chrono::milliseconds(500);
/// The pause after a plan, for each queued opening.
constexpr duration plan_pause_per_opening = std::chrono::microseconds(10);

double value_at(const decaying_count& count, time_point now)
{
    return count.value * std::exp(-milliseconds_of(now - count.updated_at) /
                                  milliseconds_of(decay_time));
}

void increment(decaying_count& count, time_point now)
{
    count = {.value = value_at(count, now) + 1, .updated_at = now};
}

template <typename Table>
double recent_of(const Table& table, std::uint64_t key, time_point now)
{
    const auto found = table.find(key);
    return found == table.end() ? 0 : value_at(found->second, now);
}

std::uint64_t caller_key(const endpoint& listener, const endpoint& caller)
{
    return hash_pair(pack(listener), caller.address);
}

/// A waiting opening with the properties that its class orders it by.
struct ranked_opening
{
    std::size_t index = 0;
    bool is_late = false;
    std::uint64_t caller = 0;
    time_point deadline;
    time_point first_sent_at;
    /// Recent placements of the caller, with its openings that go before this one.
    double caller_level = 0;
};

using ranked_class = std::pair<planned_class, std::vector<ranked_opening>>;

bool is_earlier_of_caller(const ranked_opening& left, const ranked_opening& right)
{
    return std::tie(left.caller, left.is_late, left.deadline) <
           std::tie(right.caller, right.is_late, right.deadline);
}

bool is_admitted_before(const ranked_opening& left, const ranked_opening& right)
{
    return std::tie(left.is_late, left.caller_level, right.first_sent_at) <
           std::tie(right.is_late, right.caller_level, left.first_sent_at);
}

/// Sets the level of each opening as if the caller's earlier ones had been placed.
void set_caller_levels(const admission_order& order, std::vector<ranked_opening>& ranked,
                       time_point now)
{
    std::sort(ranked.begin(), ranked.end(), is_earlier_of_caller);
    for (std::size_t i = 0; i < ranked.size(); ++i)
    {
        const bool is_same_caller = i > 0 && ranked[i].caller == ranked[i - 1].caller;
        ranked[i].caller_level =
            is_same_caller
                ? ranked[i - 1].caller_level + 1
                : std::floor(recent_of(order.callers, ranked[i].caller, now) + min_count);
    }
}

std::vector<ranked_class> group_by_class(const opening_queue& queue, time_point now)
{
    std::vector<ranked_class> classes;
    for (std::size_t index = 0; index < queue.openings.size(); ++index)
    {
        const queued_opening& each = queue.openings[index];
        auto found =
            std::find_if(classes.begin(), classes.end(),
                         [&](const ranked_class& other)
                         {
                             return other.first.listener == each.packet.listener &&
                                    other.first.priority == each.priority;
                         });
        if (found == classes.end())
        {
            classes.push_back({{.listener = each.packet.listener,
                                .service = each.service,
                                .priority = each.priority},
                               {}});
            found = std::prev(classes.end());
        }
        found->second.push_back(
            {.index = index,
             .is_late = now > each.placement_deadline,
             .caller = caller_key(each.packet.listener, each.packet.caller),
             .deadline = each.placement_deadline,
             .first_sent_at = each.first_sent_at});
    }
    return classes;
}

/// Returns the number of listeners with openings for \p service in \p plan.
std::size_t count_listeners(const admission_plan& plan, service_id service)
{
    std::set<std::uint64_t> listeners;
    for (const planned_class& each : plan.classes)
    {
        if (each.service == service)
        {
            listeners.insert(pack(each.listener));
        }
    }
    return listeners.size();
}

/// Sets the recent and the guaranteed placements of each class of \p plan.
void set_shares(const admission_order& order, admission_plan& plan, time_point now)
{
    for (planned_class& each : plan.classes)
    {
        each.placed = recent_of(order.listeners, pack(each.listener), now);
    }
    for (planned_class& each : plan.classes)
    {
        const auto found = order.services.find(each.service);
        const double total =
            found == order.services.end() ? 0 : value_at(found->second.recent, now);
        const std::size_t competitors = count_listeners(plan, each.service);
        each.guaranteed = guaranteed_share * total / static_cast<double>(competitors);
    }
}

/// Returns whether the next opening of \p left goes before that of \p right.
bool goes_before(const planned_class& left, const planned_class& right)
{
    const auto rank = [](const planned_class& each)
    {
        return std::tuple(each.placed >= each.guaranteed, each.priority,
                          each.next >= each.first_late, each.placed);
    };
    return rank(left) < rank(right);
}

planned_class* next_class(admission_plan& plan)
{
    planned_class* best = nullptr;
    for (planned_class& each : plan.classes)
    {
        const bool has_opening = each.next < each.openings.size();
        if (has_opening && (best == nullptr || goes_before(each, *best)))
        {
            best = &each;
        }
    }
    return best;
}

/// The openings for one service that go before the next one.
struct openings_ahead
{
    std::size_t count = 0;
    /// Their priorities, with the number of openings of each.
    boost::unordered_flat_map<std::uint32_t, std::size_t> by_priority;
};

std::size_t more_urgent(const openings_ahead& ahead, std::uint32_t priority)
{
    std::size_t count = 0;
    for (const auto& [other, openings] : ahead.by_priority)
    {
        count += other < priority ? openings : 0;
    }
    return count;
}

/// Makes room in the full table by removing callers without recent placements.
void sweep_callers(admission_order& order, time_point now)
{
    if (order.callers.size() < max_counted_callers || now < order.next_caller_sweep)
    {
        return;
    }
    order.next_caller_sweep = now + caller_sweep_interval;
    boost::unordered::erase_if(order.callers, [&](const auto& each)
                               { return value_at(each.second, now) < min_count; });
}

} // namespace

std::optional<double> placement_rate(const admission_order& order, service_id service,
                                     time_point now)
{
    const auto found = order.services.find(service);
    if (found == order.services.end())
    {
        return std::nullopt;
    }
    const double recent = value_at(found->second.recent, now);
    if (recent < min_placements_for_estimate)
    {
        return std::nullopt;
    }
    // A count that began a short time ago has not reached its steady value.
    const double counted =
        1 - std::exp(-milliseconds_of(now - found->second.counted_since) /
                     milliseconds_of(decay_time));
    const double seconds = milliseconds_of(decay_time) / 1000 * counted;
    return seconds > 0 ? std::optional(recent / seconds) : std::nullopt;
}

bool is_awaited(const opening_queue& queue, service_id service)
{
    const auto found = queue.waiting_by_service.find(service);
    return found != queue.waiting_by_service.end() && found->second > 0;
}

admission_plan plan_admissions(const admission_order& order, const opening_queue& queue,
                               time_point now)
{
    admission_plan plan;
    for (auto& [planned, ranked] : group_by_class(queue, now))
    {
        set_caller_levels(order, ranked, now);
        std::sort(ranked.begin(), ranked.end(), is_admitted_before);
        for (const ranked_opening& each : ranked)
        {
            planned.openings.push_back(each.index);
            planned.first_late += each.is_late ? 0U : 1U;
        }
        plan.classes.push_back(std::move(planned));
    }
    set_shares(order, plan, now);
    return plan;
}

bool is_final(steering_verdict verdict)
{
    return verdict == steering_verdict::no_route;
}

bool begin_plan_if_due(admission_order& order, std::size_t queued, time_point now)
{
    if (queued == 0 || now < order.next_plan)
    {
        return false;
    }
    order.next_plan = now + static_cast<std::int64_t>(queued) * plan_pause_per_opening;
    return true;
}

void record_admission(admission_order& order, const endpoint& listener,
                      const endpoint& caller, service_id service, time_point now)
{
    increment(order.listeners[pack(listener)], now);
    const auto [placements, is_new] = order.services.try_emplace(service);
    if (is_new || value_at(placements->second.recent, now) < min_count)
    {
        placements->second.counted_since = now;
    }
    increment(placements->second.recent, now);
    sweep_callers(order, now);
    const std::uint64_t key = caller_key(listener, caller);
    if (order.callers.size() < max_counted_callers || order.callers.contains(key))
    {
        increment(order.callers[key], now);
    }
}

std::optional<std::size_t> next_admission(admission_plan& plan)
{
    planned_class* const found = next_class(plan);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    const std::size_t index = found->openings[found->next++];
    const endpoint listener = found->listener;
    for (planned_class& each : plan.classes)
    {
        each.placed += each.listener == listener ? 1 : 0;
    }
    return index;
}

void remove_listener(admission_plan& plan, const endpoint& listener)
{
    std::erase_if(plan.classes,
                  [&](const planned_class& each) { return each.listener == listener; });
}

std::vector<unservable_opening> take_unservable(const admission_order& order,
                                                opening_queue& queue, time_point now)
{
    std::vector<unservable_opening> unservable;
    std::vector<std::size_t> indices;
    boost::unordered_flat_map<service_id, openings_ahead, std::hash<service_id>> ahead;
    admission_plan plan = plan_admissions(order, queue, now);
    while (const auto index = next_admission(plan))
    {
        const queued_opening& each = queue.openings[*index];
        openings_ahead& before = ahead[each.service];
        const auto rate = placement_rate(order, each.service, now);
        const duration wait =
            rate ? from_milliseconds(1000 * static_cast<double>(before.count) / *rate)
                 : duration(0);
        if (wait > std::max(duration(0), last_useful_placement(each) - now))
        {
            indices.push_back(*index);
            unservable.push_back(
                {.estimated_wait = wait,
                 .ahead = before.count,
                 .more_urgent_ahead = more_urgent(before, each.priority)});
            continue;
        }
        ++before.count;
        ++before.by_priority[each.priority];
    }
    std::vector<queued_opening> taken = take_openings(queue, indices);
    for (std::size_t i = 0; i < taken.size(); ++i)
    {
        unservable[i].opening = std::move(taken[i]);
    }
    return unservable;
}

} // namespace kumquatpath
