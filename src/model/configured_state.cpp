#include <kumquatpath/model/configured_state.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

bool is_draining(const configuration& whole, const target& each)
{
    const auto centre = std::find_if(whole.data_centres.begin(), whole.data_centres.end(),
                                     [&](const data_centre& candidate)
                                     { return candidate.id == each.data_centre; });
    return each.state == administrative_state::draining ||
           (centre != whole.data_centres.end() &&
            centre->state == administrative_state::draining);
}

/// Returns the service \p id, or one without limits if there is none.
service service_of(const configuration& whole, service_id id)
{
    const auto found = std::find_if(whole.services.begin(), whole.services.end(),
                                    [&](const service& each) { return each.id == id; });
    return found == whole.services.end() ? service{} : *found;
}

/// Connections that a target holds, by the requests that it works on at once.
constexpr std::uint32_t connections_by_slot = 2000;

target_record record_of(const configuration& whole, const service& serving,
                        const target& each)
{
    return {.key = key_of_target(each.name),
            .service = serving.id,
            .address = each.address,
            .data_centre = each.data_centre,
            .slots = std::max(1U, each.connections / connections_by_slot),
            .is_draining = is_draining(whole, each)};
}

} // namespace

routing_table routes_of(const configuration& whole)
{
    routing_table table{.generation = whole.generation};
    for (const listener& each : whole.listeners)
    {
        const service serving = service_of(whole, each.service);
        table.routes.emplace(pack(each.address),
                             route{.name = each.name,
                                   .services = {{.service = each.service}},
                                   .latency_goal = serving.latency_goal,
                                   .flows_per_second = serving.requests_per_second});
    }
    for (const tenant& each : whole.tenants)
    {
        table.tenant_limits[each.id.value] = each.requests_per_second;
    }
    for (const traffic_class& each : whole.classes)
    {
        table.class_limits[each.id.value] = each.requests_per_second;
    }
    for (const std::string& name : whole.draining_instances)
    {
        table.draining_instances.push_back(id_of<instance_id>(name));
    }
    return table;
}

std::vector<target_record> targets_of(const configuration& whole)
{
    std::vector<target_record> records;
    for (const service& serving : whole.services)
    {
        for (const target& each : whole.pools[serving.pool].targets)
        {
            records.push_back(record_of(whole, serving, each));
        }
    }
    return records;
}

target_key key_of_target(std::string_view name)
{
    return {hash_name(name)};
}

} // namespace kumquatpath
