#include <capacity/held_flows.hpp>
#include <capacity/sample_fleet.hpp>

#include <algorithm>
#include <numeric>

namespace kumquatpath::bench
{
namespace
{

flow_id next_flow(held_flows& held)
{
    held.next = held.next + 1 < held.order.size() ? held.next + 1 : 0;
    return {held.order[held.next].value ^ held.link};
}

} // namespace

read_chain::read_chain(std::size_t bytes, std::mt19937_64& random)
    : lines_(bytes / line_bytes)
{
    std::vector<std::uint32_t> order(lines_.size());
    std::iota(order.begin(), order.end(), 0U);
    std::ranges::shuffle(order, random);
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        lines_[order[i]].next = order[(i + 1) % order.size()];
    }
}

packet_header sample_header()
{
    return {.kind = packet_kind::data,
            .repeatable = true,
            .service = id_of<service_id>("service-0"),
            .tenant = {1},
            .traffic_class = {1},
            .flow = {0x123456789abcdef0},
            .request = {2}};
}

held_flows make_held_flows(std::size_t count, std::mt19937_64& random)
{
    const configuration whole =
        sample_configuration({.services = 490, .targets_per_service = 11});
    held_flows held{
        .router = make_flow_router({.self = sample_instance(0), .most_flows = count})};
    adopt_plan(held.router, plan_placements(whole, nullptr, wall_time{}),
               whole.generation, held.now);
    const target_id target = whole.pools.front().targets.front().id;
    for (std::size_t i = 0; i < count; ++i)
    {
        const flow_id flow{random()};
        flow_entry* const entry =
            insert_flow(held.router.flows, {whole.services.front().id, flow});
        entry->target = target;
        entry->role = flow_role::kept;
        entry->seen = in_flow_ticks(held.now);
        held.order.push_back(flow);
    }
    std::ranges::shuffle(held.order, random);
    return held;
}

void look_up_next(held_flows& held, service_id service)
{
    const flow_entry* const entry =
        find_flow(held.router.flows, {service, next_flow(held)});
    held.link = entry->resets;
}

void decide_next(held_flows& held, packet_header& header)
{
    header.flow = next_flow(held);
    held.actions.clear();
    route_packet(held.router, {.header = header, .payload = {}, .from = {}}, held.now,
                 held.actions);
    const auto& sent = std::get<send_to_target>(held.actions.front());
    held.link = sent.header.hops;
}

} // namespace kumquatpath::bench
