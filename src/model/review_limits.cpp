#include "model/json_pointer.hpp"
#include "model/review_rules.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <iterator>
#include <optional>

namespace kumquatpath::review
{
namespace
{

using std::chrono::milliseconds;

std::string pointer_to_key(std::string_view section, std::string_view name,
                           std::string_view key)
{
    return child_pointer(child_pointer(child_pointer("", section), name), key);
}

std::string text_of(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string text_of(std::chrono::seconds time)
{
    return std::to_string(time.count()) + " s";
}

using listener_counts = boost::unordered_flat_map<std::uint32_t, std::uint64_t>;

/// Returns the number of listeners by the id of their service.
listener_counts count_listeners(const configuration& config)
{
    listener_counts counts;
    for (const listener& each : config.listeners)
    {
        ++counts[each.service.value];
    }
    return counts;
}

/// Returns the limits of the listeners of \p each together, in new flows per second; 0 if
/// they have none.
std::uint64_t limit_of_listeners(const service& each, const listener_counts& counts)
{
    const auto found = counts.find(each.id.value);
    return found == counts.end() ? 0 : found->second * each.requests_per_second;
}

/// Returns the limits of all listeners together, in new flows per second. Returns nothing
/// if there is no listener or if one of them has no limit.
std::optional<std::uint64_t> limit_of_all_listeners(const configuration& config)
{
    const listener_counts counts = count_listeners(config);
    std::uint64_t sum = 0;
    for (const service& each : config.services)
    {
        const std::uint64_t limit = limit_of_listeners(each, counts);
        if (limit == 0 && counts.contains(each.id.value))
        {
            return std::nullopt;
        }
        sum += limit;
    }
    return sum == 0 ? std::nullopt : std::optional(sum);
}

/// Returns a warning for each of \p objects, the members of \p section, whose limit is
/// above \p limit.
template <class Objects>
warning_list limits_above(std::uint64_t limit, std::string_view section,
                          const Objects& objects)
{
    warning_list found;
    for (const auto& each : objects)
    {
        if (each.requests_per_second > limit)
        {
            found.push_back(
                {.pointer = pointer_to_key(section, each.name, "requests_per_second"),
                 .description =
                     "The limit of " + std::to_string(each.requests_per_second) +
                     " new flows a second is above the " + std::to_string(limit) +
                     " that all listeners together accept."});
        }
    }
    return found;
}

/// The shortest and the longest deadline of all classes.
struct deadline_range
{
    milliseconds shortest{0};
    milliseconds longest{0};
};

/// Returns nothing if there is no class.
std::optional<deadline_range> deadlines_of(const configuration& config)
{
    if (config.classes.empty())
    {
        return std::nullopt;
    }
    const auto [shortest, longest] =
        std::ranges::minmax_element(config.classes, {}, &traffic_class::deadline);
    return deadline_range{.shortest = shortest->deadline, .longest = longest->deadline};
}

/// Returns the shortest latency goal of all services, or nothing if there is no service
/// or if one of them has no goal.
std::optional<milliseconds> shortest_goal(const configuration& config)
{
    if (config.services.empty())
    {
        return std::nullopt;
    }
    const auto shortest =
        std::ranges::min_element(config.services, {}, &service::latency_goal);
    return shortest->latency_goal.count() == 0 ? std::nullopt
                                               : std::optional(shortest->latency_goal);
}

} // namespace

warning_list partial_slots(const configuration& config)
{
    warning_list found;
    for (const target_pool& pool : config.pools)
    {
        const std::string targets =
            child_pointer(child_pointer("/pools", pool.name), "targets");
        for (const target& each : pool.targets)
        {
            if (each.connections % connections_per_slot == 0)
            {
                continue;
            }
            found.push_back(
                {.pointer =
                     child_pointer(child_pointer(targets, each.name), "connections"),
                 .description = std::to_string(each.connections) +
                                " connections have the same effect as " +
                                std::to_string(slots_of(each) * connections_per_slot) +
                                '.'});
        }
    }
    return found;
}

warning_list limits_without_effect(const configuration& config)
{
    const auto limit = limit_of_all_listeners(config);
    if (!limit)
    {
        return {};
    }
    warning_list found = limits_above(*limit, "tenants", config.tenants);
    std::ranges::move(limits_above(*limit, "classes", config.classes),
                      std::back_inserter(found));
    return found;
}

warning_list goals_above_deadlines(const configuration& config)
{
    const auto deadlines = deadlines_of(config);
    warning_list found;
    for (const service& each : config.services)
    {
        if (deadlines && each.latency_goal > deadlines->longest)
        {
            found.push_back(
                {.pointer = pointer_to_key("services", each.name, "latency_goal_ms"),
                 .description = "The latency goal of " + text_of(each.latency_goal) +
                                " is longer than the deadline of every class, which is "
                                "at most " +
                                text_of(deadlines->longest) + '.'});
        }
    }
    return found;
}

warning_list deadlines_below_goals(const configuration& config)
{
    const auto goal = shortest_goal(config);
    const auto deadlines = deadlines_of(config);
    // If no class meets any goal, goals_above_deadlines() reports that.
    if (!goal || !deadlines || deadlines->longest < *goal)
    {
        return {};
    }
    warning_list found;
    for (const traffic_class& each : config.classes)
    {
        if (each.deadline < *goal)
        {
            found.push_back(
                {.pointer = pointer_to_key("classes", each.name, "deadline_ms"),
                 .description = "The deadline of " + text_of(each.deadline) +
                                " is shorter than the latency goal of every service, "
                                "which is at least " +
                                text_of(*goal) + '.'});
        }
    }
    return found;
}

warning_list lifetimes_below_goals(const configuration& config)
{
    warning_list found;
    for (const service& each : config.services)
    {
        if (each.flow_lifetime < each.latency_goal)
        {
            found.push_back(
                {.pointer = pointer_to_key("services", each.name, "flow_lifetime_s"),
                 .description = "The flow lifetime of " + text_of(each.flow_lifetime) +
                                " is shorter than the latency goal of " +
                                text_of(each.latency_goal) + '.'});
        }
    }
    return found;
}

warning_list lifetimes_below_deadlines(const configuration& config)
{
    const auto deadlines = deadlines_of(config);
    warning_list found;
    for (const service& each : config.services)
    {
        if (deadlines && each.flow_lifetime < deadlines->shortest)
        {
            found.push_back(
                {.pointer = pointer_to_key("services", each.name, "flow_lifetime_s"),
                 .description = "The flow lifetime of " + text_of(each.flow_lifetime) +
                                " is shorter than the deadline of every class, which is "
                                "at least " +
                                text_of(deadlines->shortest) + '.'});
        }
    }
    return found;
}

warning_list warm_up_limits_without_time(const configuration& config)
{
    warning_list found;
    for (const service& each : config.services)
    {
        if (each.warm_up_requests_per_second > 0 && each.warm_up.count() == 0)
        {
            found.push_back(
                {.pointer =
                     pointer_to_key("services", each.name, "warm_up_requests_per_second"),
                 .description = "The limit during a warm-up has no effect, because the "
                                "targets of the service \"" +
                                each.name + "\" do not warm up."});
        }
    }
    return found;
}

warning_list warm_up_limits_without_effect(const configuration& config)
{
    const listener_counts counts = count_listeners(config);
    warning_list found;
    for (const service& each : config.services)
    {
        const std::uint64_t limit = limit_of_listeners(each, counts);
        if (limit > 0 && each.warm_up_requests_per_second > limit)
        {
            found.push_back(
                {.pointer =
                     pointer_to_key("services", each.name, "warm_up_requests_per_second"),
                 .description = "The limit of " +
                                std::to_string(each.warm_up_requests_per_second) +
                                " new flows a second to one target is above the " +
                                std::to_string(limit) + " that the service accepts."});
        }
    }
    return found;
}

} // namespace kumquatpath::review
