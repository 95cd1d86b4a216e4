#include <kumquatpath/decision/instance.hpp>
#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/decision/placement.hpp>

namespace kumquatpath
{
namespace
{

void route(instance_state& state, const packet_header& header, payload_view payload,
           action_list& actions)
{
    const auto found = state.services.find(header.service);
    if (found == state.services.end())
    {
        actions.push_back(drop_packet{drop_reason::unknown_service});
        return;
    }
    const std::vector<target_id>& slots = found->second.slots;
    if (slots.empty())
    {
        actions.push_back(drop_packet{drop_reason::no_target});
        return;
    }
    const slot_index slot =
        slot_of(header.flow, static_cast<std::uint32_t>(slots.size()));
    actions.push_back(send_to_target{
        .target = slots[slot.value], .header = header, .payload = payload});
}

void note_heartbeat(instance_state& state, instance_id sender, const heartbeat& message,
                    time_point now)
{
    merge_members(state.members, message.members, now);
    if (message.generation > state.newest_heard)
    {
        state.newest_heard = message.generation;
        state.newest_holder = sender;
    }
}

heartbeat make_heartbeat(instance_state& state)
{
    heartbeat message;
    message.generation = state.in_force ? state.in_force->generation : generation{};
    message.switched = message.generation;
    message.members = take_digests(state.members);
    return message;
}

void send_heartbeats(instance_state& state, time_point now, action_list& actions)
{
    std::vector<instance_id> receivers;
    if (!advance_membership(state.members, now, receivers))
    {
        return;
    }
    const heartbeat common = make_heartbeat(state);
    for (const instance_id each : receivers)
    {
        heartbeat message = common;
        if (const member_digest* const rumour = rumour_about(state.members, each))
        {
            message.members.push_back(*rumour);
        }
        actions.push_back(send_to_peer{.peer = each, .message = std::move(message)});
    }
}

} // namespace

instance_state make_instance(const instance_options& options)
{
    return {.options = options,
            .members = make_membership(options.self, options.membership)};
}

bool adopt_configuration(instance_state& state, std::shared_ptr<const configuration> next,
                         time_point /*now*/)
{
    const bool is_newer =
        !state.in_force || next->generation > state.in_force->generation;
    if (!is_newer)
    {
        return false;
    }
    state.services.clear();
    for (const service& each : next->services)
    {
        const auto targets = active_targets(*next, next->pools[each.pool]);
        state.services[each.id].slots =
            place_slots(targets, slot_count_for(targets.size()));
    }
    state.in_force = std::move(next);
    return true;
}

std::optional<instance_id> newer_configuration_at(const instance_state& state)
{
    const generation own = state.in_force ? state.in_force->generation : generation{};
    if (state.newest_heard <= own)
    {
        return std::nullopt;
    }
    return state.newest_holder;
}

void decide_caller_packet(instance_state& state, const packet_header& header,
                          payload_view payload, time_point /*now*/, action_list& actions)
{
    route(state, header, payload, actions);
}

void decide_target_packet(instance_state& /*state*/, const packet_header& header,
                          payload_view payload, time_point /*now*/, action_list& actions)
{
    actions.push_back(send_to_caller{.header = header, .payload = payload});
}

void decide_passed_packet(instance_state& state, instance_id sender,
                          const packet_header& header, payload_view payload,
                          time_point now, action_list& actions)
{
    note_heard(state.members, sender, now);
    route(state, header, payload, actions);
}

void decide_peer_message(instance_state& state, instance_id sender,
                         const peer_message& message, time_point now,
                         action_list& /*actions*/)
{
    note_heard(state.members, sender, now);
    if (const auto* const beat = std::get_if<heartbeat>(&message))
    {
        note_heartbeat(state, sender, *beat, now);
    }
}

void tick(instance_state& state, time_point now, action_list& actions)
{
    send_heartbeats(state, now, actions);
}

} // namespace kumquatpath
