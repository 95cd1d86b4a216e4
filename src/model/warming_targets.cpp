#include "model/warming_targets.hpp"

#include "model/flows_at_risk.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

using std::chrono::seconds;

/// Calls \p function with each target of \p config that has a service with a warm-up, and
/// with the time of the warm-up.
template <class Configuration, class Function>
void for_each_warming_target(Configuration& config, const Function& function)
{
    for (const service& owner : config.services)
    {
        if (owner.warm_up.count() == 0)
        {
            continue;
        }
        for (auto& each : config.pools[owner.pool].targets)
        {
            function(each, owner.warm_up);
        }
    }
}

/// Returns the addresses of the targets that take new flows, by name.
boost::unordered_flat_map<std::string, endpoint>
active_addresses_of(const configuration& config)
{
    const std::set<std::string> active = targets_taking_flows(config);
    boost::unordered_flat_map<std::string, endpoint> addresses;
    for (const target_pool& pool : config.pools)
    {
        for (const target& each : pool.targets)
        {
            if (active.contains(each.name))
            {
                addresses[each.name] = each.address;
            }
        }
    }
    return addresses;
}

} // namespace

start_times next_warming_targets(const configuration_envelope& previous,
                                 const configuration_envelope& next)
{
    const auto before = active_addresses_of(previous.checked_configuration);
    const auto after = active_addresses_of(next.checked_configuration);
    start_times warming;
    const auto add_if_warming = [&](const target& each, seconds warm_up)
    {
        if (!after.contains(each.name))
        {
            return;
        }
        const auto old_entry = before.find(each.name);
        const bool is_new =
            old_entry == before.end() || old_entry->second != each.address;
        const auto known = previous.warming.find(each.name);
        if (is_new)
        {
            warming[each.name] = next.submitted_at;
        }
        else if (known != previous.warming.end() &&
                 known->second + warm_up > next.submitted_at)
        {
            warming[each.name] = known->second;
        }
    };
    for_each_warming_target(next.checked_configuration, add_if_warming);
    return warming;
}

void set_warm_ups(configuration& config, const start_times& warming)
{
    for_each_warming_target(config,
                            [&](target& each, seconds warm_up)
                            {
                                const auto found = warming.find(each.name);
                                if (found != warming.end())
                                {
                                    each.warm_up_until = found->second + warm_up;
                                }
                            });
}

} // namespace kumquatpath
