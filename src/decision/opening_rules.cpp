#include "opening_rules.hpp"

namespace kumquatpath
{
namespace
{

service_id select_service(const route& matched_route, std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const weighted_service& each : matched_route.services)
    {
        total += each.weight;
    }
    std::uint64_t left = total == 0 ? 0 : random % total;
    for (const weighted_service& each : matched_route.services)
    {
        if (left < each.weight)
        {
            return each.service;
        }
        left -= each.weight;
    }
    return matched_route.services.front().service;
}

} // namespace

opening_rules rules_of(const routing_table& table, const route& matched_route,
                       const flow_packet& packet, std::uint64_t random)
{
    const service_id service = select_service(matched_route, random);
    return {.service = service,
            .warm_up = find_warm_up_policy(table, service),
            .is_repeatable =
                policy_of(table, matched_route, packet.traffic_class).is_repeatable};
}

} // namespace kumquatpath
