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

/// Returns the targets that take flows before the change, or did so a flow's lifetime ago
/// or less.
std::set<std::string> targets_with_flows(const configuration_envelope& previous,
                                         const configuration_envelope& next)
{
    std::set<std::string> names;
    for (const service& each : previous.checked.services)
    {
        const auto active =
            active_target_names(previous.checked, previous.checked.pools[each.pool]);
        names.insert(active.begin(), active.end());
    }
    for (const auto& [service, epochs] : next.epochs)
    {
        for (const epoch_record& each : epochs)
        {
            names.insert(each.targets.begin(), each.targets.end());
        }
    }
    return names;
}

} // namespace

std::vector<std::string> cut_targets(const configuration_envelope& previous,
                                     const configuration_envelope& next)
{
    const address_map before = addresses_of(previous.checked);
    const address_map after = addresses_of(next.checked);
    std::vector<std::string> cut;
    for (const std::string& name : targets_with_flows(previous, next))
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
