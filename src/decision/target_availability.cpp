#include <kumquatpath/decision/target_availability.hpp>

namespace kumquatpath
{

target_availability availability_of(const target_directory& directory, service_id service,
                                    time_point now)
{
    target_availability found = target_availability::none;
    for (const target_index index : targets_of(directory, service))
    {
        const known_target& target = directory.targets[index];
        if (takes_new_flows(target, now))
        {
            return target_availability::available;
        }
        if (target.is_evacuated && target.is_announced && !target.is_shadowed)
        {
            found = target_availability::evacuated;
        }
    }
    return found;
}

std::set<service_id> find_evacuated_services(const routing_table& table,
                                             const target_directory& directory,
                                             time_point now)
{
    std::set<service_id> services;
    for (const auto& [listener, route] : table.routes)
    {
        for (const weighted_service& each : route.services)
        {
            services.insert(each.service);
        }
    }
    std::erase_if(services,
                  [&](service_id each) {
                      return availability_of(directory, each, now) !=
                             target_availability::evacuated;
                  });
    return services;
}

} // namespace kumquatpath
