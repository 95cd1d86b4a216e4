#include <kumquatpath/decision/admission_placement.hpp>

#include <algorithm>
#include <utility>

namespace kumquatpath
{

bool is_behind_others(const opening_queue& queue, const flow_steering& steering,
                      const routing_table& table, const flow_packet& packet)
{
    const route* const found = find_route(table, packet.listener);
    if (queue.openings.empty() || found == nullptr ||
        steering.flows.contains(packet.flow.value))
    {
        return false;
    }
    return std::any_of(found->services.begin(), found->services.end(),
                       [&](const weighted_service& each)
                       { return is_awaited(queue, each.service); });
}

std::vector<steered_opening> take_admissible(admission_order& order, opening_queue& queue,
                                             flow_steering& steering,
                                             const routing_table& table,
                                             const target_directory& directory,
                                             time_point now)
{
    if (!begin_plan_if_due(order, queue.openings.size(), now))
    {
        return {};
    }
    std::vector<steered_opening> steered;
    std::vector<std::size_t> indices;
    admission_plan plan = plan_admissions(order, queue, now);
    while (const auto index = next_admission(plan))
    {
        const flow_packet& packet = queue.openings[*index].packet;
        const steering_decision decision = steer(steering, table, directory, packet, now);
        if (decision.verdict == steering_verdict::wait)
        {
            remove_listener(plan, packet.listener);
            continue;
        }
        indices.push_back(*index);
        steered.push_back({.decision = decision});
    }
    std::vector<queued_opening> taken = take_openings(queue, indices);
    for (std::size_t i = 0; i < taken.size(); ++i)
    {
        steered[i].opening = std::move(taken[i]);
    }
    return steered;
}

} // namespace kumquatpath
