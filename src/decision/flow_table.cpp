#include "flow_table.hpp"

#include "remote_flows.hpp"

#include <algorithm>

namespace kumquatpath
{
void set_in_flight(flow_steering& steering, const target_directory& directory,
                   tracked_flow& flow, bool is_in_flight)
{
    if (flow.is_in_flight == is_in_flight)
    {
        return;
    }
    flow.is_in_flight = is_in_flight;
    steering.finished_requests += is_in_flight ? 0U : 1U;
    count_by_data_centre(steering, directory, flow);
    target_stats& stats = stats_of(steering.selector, directory, flow.target);
    if (stats.key != flow.key)
    {
        return;
    }
    if (is_in_flight)
    {
        ++stats.in_flight;
    }
    else
    {
        stats.in_flight -= std::min(stats.in_flight, 1U);
    }
}

void expect_answer(flow_steering& steering, const tracked_flow& flow, flow_id id,
                   time_point now)
{
    steering.pending.push_back({.flow = id.value,
                                .target = flow.target,
                                .key = flow.key,
                                .due = now + opening_timeout(steering.selector),
                                .sent_at = now});
}

void assign_target(flow_steering& steering, const target_directory& directory,
                   tracked_flow& flow, target_index target, time_point now)
{
    set_in_flight(steering, directory, flow, false);
    flow.target = target;
    flow.key = directory.targets[target].record.key;
    flow.incarnation = directory.targets[target].record.incarnation;
    flow.placed_at = now;
    set_in_flight(steering, directory, flow, true);
}

void place_again(flow_steering& steering, const target_directory& directory, flow_id id,
                 tracked_flow& flow, target_index target, time_point now)
{
    assign_target(steering, directory, flow, target, now);
    expect_answer(steering, flow, id, now);
    ++flow.placements;
}

bool is_target_alive(flow_steering& steering, const target_directory& directory,
                     const tracked_flow& flow)
{
    const target_stats& stats = stats_of(steering.selector, directory, flow.target);
    return stats.key == flow.key && stats.answered_opening_sent_at > flow.placed_at;
}

void place_second_try(flow_steering& steering, const target_directory& directory,
                      flow_id id, tracked_flow& flow, target_index target, time_point now)
{
    flow.has_second_try = true;
    flow.first_target = flow.target;
    place_again(steering, directory, id, flow, target, now);
}

void adopt_flow(flow_steering& steering, const target_directory& directory, flow_id id,
                target_index target, time_point now)
{
    const auto found = steering.flows.find(id.value);
    if (found == steering.flows.end() || found->second.is_answered)
    {
        return;
    }
    tracked_flow& flow = found->second;
    assign_target(steering, directory, flow, target, now);
    flow.is_answered = true;
    flow.answered_at = now;
    flow.last_seen = now;
    flow.is_opened_elsewhere = true;
    flow.is_pinned = true;
}

} // namespace kumquatpath
