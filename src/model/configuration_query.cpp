#include <kumquatpath/model/configuration_query.hpp>

#include <algorithm>
#include <set>

namespace kumquatpath
{

std::vector<std::string> active_target_names(const configuration& config,
                                             const target_pool& pool)
{
    std::set<data_centre_id> draining;
    for (const data_centre& each : config.data_centres)
    {
        if (each.state == administrative_state::draining)
        {
            draining.insert(each.id);
        }
    }
    std::vector<std::string> names;
    for (const target& each : pool.targets)
    {
        if (each.state == administrative_state::active &&
            !draining.contains(each.data_centre))
        {
            names.push_back(each.name);
        }
    }
    std::ranges::sort(names);
    return names;
}

} // namespace kumquatpath
