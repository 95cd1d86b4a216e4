#include "model/flows_at_risk.hpp"

#include <kumquatpath/model/configuration_query.hpp>

#include <map>
#include <set>

namespace kumquatpath
{
namespace
{

using address_map = std::map<std::string, endpoint, std::less<>>;

address_map addresses_of(const configuration& config)
{
    address_map addresses;
    for (const target_pool& pool : config.pools)
    {
        for (const target& each : pool.targets)
        {
            addresses[each.name] = each.address;
        }
    }
    return addresses;
}

} // namespace

std::set<std::string> targets_taking_flows(const configuration& config)
{
    std::set<std::string> names;
    for (const service& each : config.services)
    {
        const auto active = active_target_names(config, config.pools[each.pool]);
        names.insert(active.begin(), active.end());
    }
    return names;
}

std::vector<std::string>
targets_with_flows_at_risk(const configuration_envelope& previous,
                           const configuration_envelope& next)
{
    const address_map before = addresses_of(previous.checked_configuration);
    const address_map after = addresses_of(next.checked_configuration);
    std::vector<std::string> at_risk;
    std::set<std::string> may_hold_flows =
        targets_taking_flows(previous.checked_configuration);
    for (const auto& [name, since] : next.retired)
    {
        may_hold_flows.insert(name);
    }
    for (const std::string& name : may_hold_flows)
    {
        const auto old_entry = before.find(name);
        const auto new_entry = after.find(name);
        // The flows of a target that an earlier change removed are already broken.
        if (old_entry == before.end())
        {
            continue;
        }
        if (new_entry == after.end() || new_entry->second != old_entry->second)
        {
            at_risk.push_back(name);
        }
    }
    return at_risk;
}

} // namespace kumquatpath
