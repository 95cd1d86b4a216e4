#ifndef KUMQUATPATH_TEST_DECISION_FLOW_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_FLOW_FIXTURE_HPP

/// \file
/// Small configurations, views and packets for the tests of flows.

#include <kumquatpath/decision/flow_router.hpp>

#include <algorithm>

namespace kumquatpath::test
{

inline constexpr service_id catalogue{7};
inline constexpr wall_time start_of_test{std::chrono::hours(1000)};
inline constexpr std::chrono::seconds lifetime{3600};

inline std::vector<target_id> targets_from(std::uint32_t first, std::uint32_t last)
{
    std::vector<target_id> targets;
    for (std::uint32_t i = first; i <= last; ++i)
    {
        targets.push_back({i});
    }
    return targets;
}

/// Returns a configuration with one service before \p targets.
inline configuration make_configuration(std::uint64_t number,
                                        const std::vector<target_id>& targets)
{
    configuration whole;
    whole.generation = {number};
    whole.data_centres.push_back({.id = {1}});
    target_pool pool;
    for (const target_id each : targets)
    {
        pool.targets.push_back({.id = each, .data_centre = {1}});
    }
    whole.pools.push_back(pool);
    whole.services.push_back({.id = catalogue, .flow_lifetime = lifetime});
    return whole;
}

/// Returns the configuration that follows \p whole when its targets become \p targets.
inline configuration change_targets(const configuration& whole,
                                    const std::vector<target_id>& targets, wall_time wall)
{
    configuration next = make_configuration(whole.generation.value + 1, targets);
    next.services[0].epochs = whole.services[0].epochs;
    next.services[0].epochs.push_back(
        {next.generation, wall, active_targets(whole, whole.pools[0])});
    return next;
}

/// Returns the view of \p self of instances 1 to \p last, all alive.
inline member_view make_view(std::uint32_t self, std::uint32_t last)
{
    member_view view{.self = {self}};
    for (std::uint32_t i = 1; i <= last; ++i)
    {
        view.members.push_back({.instance = {i}, .data_centre = {i % 3}});
    }
    return view;
}

inline packet_header make_header(packet_kind kind, flow_id flow)
{
    return {.kind = kind, .service = catalogue, .flow = flow};
}

/// Returns a flow whose slot moved, or did not move, from the oldest set of targets.
inline flow_id find_flow_that(bool has_moved, const service_placement& placement,
                              std::uint64_t from = 1)
{
    for (flow_id flow{from};; ++flow.value)
    {
        const slot_index slot = slot_of(flow, placement.slot_count);
        if (look_up(placement, slot, start_of_test, {~0ULL}).is_moved == has_moved)
        {
            return flow;
        }
    }
}

} // namespace kumquatpath::test

#endif
