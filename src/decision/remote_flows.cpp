#include "remote_flows.hpp"

namespace kumquatpath
{

void count_by_data_centre(flow_steering& steering, const target_directory& directory,
                          tracked_flow& flow)
{
    if (!steering.selector.options.measures_distance)
    {
        return;
    }
    if (flow.is_in_flight)
    {
        // The target's index may belong to another target when the flow ends.
        flow.service = directory.targets[flow.target].record.service;
        flow.data_centre = directory.targets[flow.target].record.data_centre;
    }
    change_in_flight(steering.selector.remote, flow.service, flow.data_centre,
                     flow.is_in_flight ? 1 : -1);
}

void record_remote_opening(flow_steering& steering, const target_directory& directory,
                           const tracked_flow& flow, time_point now)
{
    if (steering.selector.options.measures_distance)
    {
        record_opening_time(steering.selector.remote,
                            directory.targets[flow.target].record.data_centre,
                            now - flow.placed_at);
    }
}

void record_remote_request(flow_steering& steering, const target_directory& directory,
                           const tracked_flow& flow, duration goal, time_point now)
{
    if (!steering.selector.options.measures_distance)
    {
        return;
    }
    const target_record& target = directory.targets[flow.target].record;
    record_answered_request(steering.selector.remote,
                            {.service = target.service,
                             .data_centre = target.data_centre,
                             .time = now - *flow.request_sent_at,
                             .latency_goal = goal},
                            now);
}

std::optional<remote_reason> count_remote_placement(flow_steering& steering,
                                                    const target_directory& directory,
                                                    target_index target)
{
    target_selector& selector = steering.selector;
    if (!selector.options.measures_distance ||
        directory.targets[target].record.data_centre == selector.local_data_centre)
    {
        return std::nullopt;
    }
    const remote_reason reason = selector.remote.reason.value_or(remote_reason::trial);
    ++selector.remote.flows[static_cast<std::size_t>(reason)];
    return reason;
}

} // namespace kumquatpath
