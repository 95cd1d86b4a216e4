#include <kumquatpath/model/configured_state.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

bool is_draining(const configuration& config, const target& each)
{
    const auto centre = std::find_if(
        config.data_centres.begin(), config.data_centres.end(),
        [&](const data_centre& candidate) { return candidate.id == each.data_centre; });
    return each.state == administrative_state::draining ||
           (centre != config.data_centres.end() &&
            centre->state == administrative_state::draining);
}

/// Returns the service with \p id, or a default service without limits if none has it.
service service_of(const configuration& config, service_id id)
{
    const auto found = std::find_if(config.services.begin(), config.services.end(),
                                    [&](const service& each) { return each.id == id; });
    return found == config.services.end() ? service{} : *found;
}

/// Returns the warm-up of \p each that is left at \p now. A wall clock that is behind
/// does not make it longer than the service's.
std::chrono::milliseconds warm_up_left(const service& owning_service, const target& each,
                                       wall_time now)
{
    return std::clamp<std::chrono::milliseconds>(
        each.warm_up_until - now, std::chrono::milliseconds(0), owning_service.warm_up);
}

target_record record_of(const configuration& config, const service& owning_service,
                        const target& each, wall_time now)
{
    return {.key = target_key_of(each.name),
            .service = owning_service.id,
            .address = each.address,
            .data_centre = each.data_centre,
            .slots = slots_of(each),
            .is_draining = is_draining(config, each),
            .warm_up_left = warm_up_left(owning_service, each, now)};
}

} // namespace

routing_table routing_table_of(const configuration& config)
{
    routing_table table{.generation = config.generation};
    for (const listener& each : config.listeners)
    {
        const service owning_service = service_of(config, each.service);
        table.routes.emplace(
            pack(each.address),
            route{.name = each.name,
                  .services = {{.service = each.service}},
                  .latency_goal = owning_service.latency_goal,
                  .flows_per_second = owning_service.requests_per_second});
    }
    for (const service& each : config.services)
    {
        table.services.insert(each.id);
        const warm_up_policy policy{.duration = each.warm_up,
                                    .flows_per_second =
                                        double(each.warm_up_requests_per_second)};
        if (policy != warm_up_policy{})
        {
            table.warm_ups[each.id] = policy;
        }
    }
    for (const tenant& each : config.tenants)
    {
        table.tenant_limits[each.id.value] = each.requests_per_second;
    }
    for (const traffic_class& each : config.classes)
    {
        table.class_limits[each.id.value] = each.requests_per_second;
        table.class_policies[each.id.value] = {.priority = each.priority,
                                               .is_repeatable = each.repeatable};
    }
    for (const std::string& name : config.draining_instances)
    {
        table.draining_instances.push_back(id_of<instance_id>(name));
    }
    return table;
}

std::vector<target_record> target_records_of(const configuration& config, wall_time now)
{
    std::vector<target_record> records;
    for (const service& owning_service : config.services)
    {
        for (const target& each : config.pools[owning_service.pool].targets)
        {
            records.push_back(record_of(config, owning_service, each, now));
        }
    }
    return records;
}

target_key target_key_of(std::string_view name)
{
    return {hash_name(name)};
}

} // namespace kumquatpath
