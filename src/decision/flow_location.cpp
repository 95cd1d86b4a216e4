#include "flow_router_detail.hpp"

#include <kumquatpath/decision/flow_location.hpp>

namespace kumquatpath
{
namespace
{

using namespace detail;

/// The place of one flow among the slots and the keepers.
struct flow_place
{
    const service_placement* placement = nullptr;
    slot_lookup rest;
    std::uint16_t group = 0;
};

std::optional<flow_place> place_of(const flow_router& router, flow_key key,
                                   time_point now)
{
    const service_placement* const placement = find_placement(router, key.service);
    if (placement == nullptr)
    {
        return std::nullopt;
    }
    const slot_index slot = slot_of(key.flow, placement->slot_count);
    return flow_place{
        .placement = placement,
        .rest = look_up(*placement, slot, wall_at(router, now), router.switched),
        .group = group_of(key.service, slot)};
}

std::optional<target_id> known_target(flow_router& router, flow_key key)
{
    const flow_entry* const entry = find_flow(router.flows, key);
    if (entry == nullptr || entry->is_tentative)
    {
        return std::nullopt;
    }
    return entry->target;
}

std::optional<target_id> unless_none(target_id target)
{
    return target == target_id{} ? std::nullopt : std::optional(target);
}

/// Returns whether this instance keeps the group and has all that the former keeper knew.
bool keeps_whole(const flow_router& router, std::uint16_t group, time_point now)
{
    const keeper_group& kept = router.groups[group];
    return kept.now.first == router.options.self && kept.is_complete &&
           now - kept.gained >= 2 * router.options.view_convergence;
}

/// Lists the new flow at the keepers of its slot, one of which may be this instance.
void list_at_keepers(flow_router& router, const flow_place& place, flow_key key,
                     target_id target, time_point now, action_list& actions)
{
    const flow_listing listing{.service = key.service,
                               .entries = {{.flow = key.flow, .target = target}},
                               .group = place.group};
    const keepers& kept = router.groups[place.group].now;
    for (const instance_id each : {kept.first, kept.replica})
    {
        if (each == router.options.self)
        {
            handle_listing(router, each, listing, now);
        }
        else if (each != instance_id{})
        {
            actions.emplace_back(send_to_peer{.peer = each, .message = listing});
        }
    }
}

} // namespace

std::optional<target_id> locate_new_flow(flow_router& router, const packet_header& header,
                                         time_point now, action_list& actions)
{
    const flow_key key{.service = header.service, .flow = header.flow};
    if (const auto known = known_target(router, key))
    {
        return known;
    }
    const auto place = place_of(router, key, now);
    if (!place || !is_certain(router, now) || place->rest.current == target_id{})
    {
        return std::nullopt;
    }
    if (place->rest.is_moved)
    {
        list_at_keepers(router, *place, key, place->rest.current, now, actions);
    }
    return place->rest.current;
}

std::optional<target_id> locate_flow(flow_router& router, const packet_header& header,
                                     time_point now, action_list& actions)
{
    const flow_key key{.service = header.service, .flow = header.flow};
    if (const auto known = known_target(router, key))
    {
        return known;
    }
    const auto place = place_of(router, key, now);
    if (!place)
    {
        return std::nullopt;
    }
    if (is_certain(router, now) && !place->rest.is_moved)
    {
        return unless_none(place->rest.current);
    }
    if (is_certain(router, now) && keeps_whole(router, place->group, now))
    {
        return unless_none(place->rest.base);
    }
    const keepers& kept = router.groups[place->group].now;
    for (const instance_id each : {kept.first, kept.replica})
    {
        if (each != instance_id{} && each != router.options.self)
        {
            actions.emplace_back(
                send_to_peer{.peer = each, .message = flow_query{key.service, key.flow}});
        }
    }
    return std::nullopt;
}

void handle_flow_query(flow_router& router, instance_id from, const flow_query& query,
                       time_point now, action_list& actions)
{
    const flow_key key{.service = query.service, .flow = query.flow};
    const auto place = place_of(router, key, now);
    if (!place)
    {
        return;
    }
    auto target = known_target(router, key);
    if (!target && is_certain(router, now) && keeps_whole(router, place->group, now))
    {
        target = unless_none(place->rest.base);
    }
    if (target)
    {
        actions.emplace_back(send_to_peer{
            .peer = from, .message = flow_hint{key.service, key.flow, *target}});
    }
}

} // namespace kumquatpath
