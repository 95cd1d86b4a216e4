#ifndef KUMQUATPATH_MODEL_ROUTING_TABLE_HPP
#define KUMQUATPATH_MODEL_ROUTING_TABLE_HPP

/// \file
/// The parts of a configuration that are needed to place flows.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/target_record.hpp>

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath
{

/// A service that receives a share of a listener's new flows in proportion to its weight.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// The least urgent priority; also that of requests whose priority is not known.
inline constexpr std::uint32_t least_urgent_priority = 255;

/// How requests are treated when not all of them can be served at once.
struct traffic_policy
{
    /// 0 is the most urgent.
    std::uint32_t priority = least_urgent_priority;
    /// The requests are idempotent, so one may run more than once without harm.
    bool is_repeatable = false;

    friend bool operator==(const traffic_policy&, const traffic_policy&) = default;
};

/// How the targets of a service are used while they warm up after their start.
struct warm_up_policy
{
    /// The whole time of a warm-up; 0: unknown.
    std::chrono::milliseconds duration{0};
    /// Limit on the new flows per second that one target gets from the whole fleet while
    /// it warms up; 0 means no limit.
    double flows_per_second = 0;

    friend bool operator==(const warm_up_policy&, const warm_up_policy&) = default;
};

/// The destinations of the new flows of one listener.
struct route
{
    std::string name;
    /// Holds at least one service; every weight is above 0.
    std::vector<weighted_service> services;
    /// The time within which an answer has its full value to the caller; 0 means that no
    /// goal is set.
    std::chrono::milliseconds latency_goal{0};
    /// The time that a caller allows for a request and its retries; 0 means unknown.
    std::chrono::milliseconds timeout{0};
    /// Limit on new flows per second over the whole fleet; 0 means no limit.
    std::uint32_t flows_per_second = 0;
    /// Unset if the packets name their class, whose policy then holds.
    std::optional<traffic_policy> policy;
};

using service_set = boost::unordered_flat_set<service_id, std::hash<service_id>>;

/// The routes and limits of one configuration.
struct routing_table
{
    /// The generation of the configuration, as operators see it.
    kumquatpath::generation generation;
    /// The routes, by the packed address of the listener; see pack().
    boost::unordered_flat_map<std::uint64_t, route> routes;
    /// The services that the configuration names, whether or not a route leads to them.
    service_set services;
    /// Limits on new flows per second over the whole fleet, by the tenant and class
    /// numbers that packets carry; 0 means no limit.
    boost::unordered_flat_map<std::uint16_t, std::uint32_t> tenant_limits;
    boost::unordered_flat_map<std::uint16_t, std::uint32_t> class_limits;
    /// By the class number that packets carry.
    boost::unordered_flat_map<std::uint16_t, traffic_policy> class_policies;
    boost::unordered_flat_map<service_id, warm_up_policy, std::hash<service_id>> warm_ups;
    /// Instances that operators are taking out of service; the fabric should send them no
    /// packets.
    std::vector<instance_id> draining_instances;
};

/// Returns the route of \p listener, or null if there is none.
inline const route* find_route(const routing_table& table, const endpoint& listener)
{
    const auto found = table.routes.find(pack(listener));
    return found == table.routes.end() ? nullptr : &found->second;
}

/// Returns the policy for requests to \p matched_route whose packets name
/// \p traffic_class. A class that the configuration lacks has the default policy.
inline traffic_policy policy_of(const routing_table& table, const route& matched_route,
                                class_id traffic_class)
{
    if (matched_route.policy)
    {
        return *matched_route.policy;
    }
    const auto found = table.class_policies.find(traffic_class.value);
    return found == table.class_policies.end() ? traffic_policy{} : found->second;
}

/// A configuration as instances share it: the text as stored, and the routing table that
/// was read from the text.
struct shared_configuration
{
    /// The newest revision that the store is known to have of its configuration.
    state_revision revision;
    /// The revision with which the text was written. Older than \c revision while the
    /// store has an older configuration, with which it came back.
    state_revision written;
    std::shared_ptr<const std::string> text;
    std::shared_ptr<const routing_table> table;
};

} // namespace kumquatpath

#endif
