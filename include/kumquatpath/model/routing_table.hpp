#ifndef KUMQUATPATH_MODEL_ROUTING_TABLE_HPP
#define KUMQUATPATH_MODEL_ROUTING_TABLE_HPP

/// \file
/// A configuration reduced to what is needed to place flows.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/target_record.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace kumquatpath
{

/// A service that takes a share of a listener's new flows.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Where the new flows of one listener go.
struct route
{
    std::string name;
    /// At least one, each with a weight above 0.
    std::vector<weighted_service> services;
    /// The time within which an answer is of full use.
    std::chrono::milliseconds latency_goal{0};
    /// New flows a second that the service takes over the whole fleet; 0: no limit.
    std::uint32_t flows_per_second = 0;
};

/// The routes of one configuration, by the address that callers send to.
struct routing_table
{
    /// The operators' number of the configuration.
    kumquatpath::generation generation;
    boost::unordered_flat_map<std::uint64_t, route> routes;
    /// New flows a second over the whole fleet, by the numbers that packets carry.
    boost::unordered_flat_map<std::uint16_t, std::uint32_t> tenant_limits;
    boost::unordered_flat_map<std::uint16_t, std::uint32_t> class_limits;
    /// Instances that operators withdraw: the fabric is to send them nothing.
    std::vector<instance_id> draining_instances;
};

/// Returns the route of \p listener, or null.
inline const route* find_route(const routing_table& table, const endpoint& listener)
{
    const auto found = table.routes.find(pack(listener));
    return found == table.routes.end() ? nullptr : &found->second;
}

/// A configuration as it travels: its text as the operators wrote it, and what was read
/// from it.
struct shared_configuration
{
    state_revision revision;
    std::shared_ptr<const std::string> text;
    std::shared_ptr<const routing_table> table;
};

} // namespace kumquatpath

#endif
