#include "model/cut_targets.hpp"

#include <kumquatpath/model/configuration_query.hpp>

#include <map>
#include <set>

namespace kumquatpath
{
namespace
{

using address_map = std::map<std::string, endpoint, std::less<>>;

address_map addresses_of(const configuration& whole)
{
    address_map addresses;
    for (const target_pool& pool : whole.pools)
    {
        for (const target& each : pool.targets)
        {
            addresses[each.name] = each.address;
        }
    }
    return addresses;
}

} // namespace

std::set<std::string> targets_taking_flows(const configuration& whole)
{
    std::set<std::string> names;
    for (const service& each : whole.services)
    {
        const auto active = active_target_names(whole, whole.pools[each.pool]);
        names.insert(active.begin(), active.end());
    }
    return names;
}

std::vector<std::string> cut_targets(const configuration_envelope& previous,
                                     const configuration_envelope& next)
{
    const address_map before = addresses_of(previous.checked);
    const address_map after = addresses_of(next.checked);
    std::vector<std::string> cut;
    std::set<std::string> with_flows = targets_taking_flows(previous.checked);
    for (const auto& [name, since] : next.retired)
    {
        with_flows.insert(name);
    }
    for (const std::string& name : with_flows)
    {
        const auto was = before.find(name);
        const auto will_be = after.find(name);
        // A target that was cut off earlier has nothing left to lose.
        if (was == before.end())
        {
            continue;
        }
        if (will_be == after.end() || will_be->second != was->second)
        {
            cut.push_back(name);
        }
    }
    return cut;
}

} // namespace kumquatpath
