#include "drain_view.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace kumquatpath
{
namespace
{

using flow_counts = std::unordered_map<target_id, std::size_t>;

flow_counts count_flows(const flow_router& router)
{
    flow_counts counts;
    for (const flow_entry& each : router.flows.places)
    {
        if (each.role != flow_role::none)
        {
            ++counts[each.target];
        }
    }
    return counts;
}

const data_centre* data_centre_of(const configuration& whole, const target& each)
{
    const auto found =
        std::ranges::find(whole.data_centres, each.data_centre, &data_centre::id);
    return found == whole.data_centres.end() ? nullptr : &*found;
}

bool is_draining(const configuration& whole, const target& each)
{
    const data_centre* const home = data_centre_of(whole, each);
    return each.state == administrative_state::draining ||
           (home != nullptr && home->state == administrative_state::draining);
}

std::vector<const target*> draining_targets(const configuration& whole)
{
    std::vector<const target*> draining;
    for (const target_pool& pool : whole.pools)
    {
        for (const target& each : pool.targets)
        {
            if (is_draining(whole, each))
            {
                draining.push_back(&each);
            }
        }
    }
    return draining;
}

/// Returns when the last flow that was opened on \p drained is expected to be over.
wall_time end_of_flows(const configuration& whole, target_id drained)
{
    wall_time last{};
    for (const service& each : whole.services)
    {
        for (const placement_epoch& epoch : each.epochs)
        {
            if (std::ranges::binary_search(epoch.targets, drained))
            {
                last = std::max(last, epoch.retired_at + each.flow_lifetime);
            }
        }
    }
    return last;
}

std::string waits_for(std::size_t flows, wall_time last, wall_time now)
{
    std::string text = std::to_string(flows) + " flows known here";
    if (last > now)
    {
        const auto left = std::chrono::ceil<std::chrono::minutes>(last - now);
        text += ", and older ones for at most " + std::to_string(left.count()) + " min";
    }
    return text;
}

} // namespace

std::vector<drain_status> drains_of(const configuration& whole, const flow_router& router,
                                    wall_time now)
{
    std::vector<drain_status> drains;
    for (const data_centre& each : whole.data_centres)
    {
        if (each.state == administrative_state::draining)
        {
            drains.push_back(
                {.kind = "data-centre", .name = each.name, .waits_for = "its targets"});
        }
    }
    const auto draining = draining_targets(whole);
    if (draining.empty())
    {
        return drains;
    }
    const flow_counts counts = count_flows(router);
    for (const target* const each : draining)
    {
        const auto known = counts.find(each->id);
        const std::size_t flows = known == counts.end() ? 0 : known->second;
        drains.push_back(
            {.kind = "target",
             .name = each->name,
             .waits_for = waits_for(flows, end_of_flows(whole, each->id), now)});
    }
    return drains;
}

} // namespace kumquatpath
