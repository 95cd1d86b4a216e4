#include <kumquatpath/decision/fleet_size.hpp>

#include <boost/unordered/unordered_flat_set.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns the number of instances, including silent ones that may only be cut off.
std::uint32_t estimate(const fleet_peers& fleet)
{
    boost::unordered_flat_set<std::uint32_t> data_centres{fleet.local_data_centre.value};
    std::size_t known = 1;
    std::size_t local = 1;
    for (const auto& [instance, peer] : fleet.peers)
    {
        if (peer.is_leaving)
        {
            continue;
        }
        data_centres.insert(peer.data_centre.value);
        ++known;
        local += peer.data_centre == fleet.local_data_centre ? 1U : 0U;
    }
    // A small fleet knows all of its instances.
    const std::size_t assumed = is_large(fleet) ? local * data_centres.size() : known;
    return static_cast<std::uint32_t>(std::max(known, assumed));
}

} // namespace

void update_fleet_size(fleet_size& size, const fleet_peers& fleet, time_point now)
{
    const std::uint32_t instances = estimate(fleet);
    if (instances >= size.instances || now >= size.estimated_at + fleet_size_hold_time)
    {
        size = {.instances = instances, .estimated_at = now};
    }
}

} // namespace kumquatpath
