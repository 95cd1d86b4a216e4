#include "survival_world.hpp"

namespace kumquatpath::bench
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr service_id catalogue{7};
constexpr std::uint64_t request_bits = 16;
constexpr std::chrono::milliseconds retry_after{300};
/// A caller gives up a request that was not answered after this many tries.
constexpr std::uint8_t most_tries = 50;
constexpr std::chrono::seconds drain_grace{3};

std::size_t flow_of(const packet_header& header)
{
    return header.request.value >> request_bits;
}

std::uint64_t bit_of(target_id target)
{
    return std::uint64_t{1} << (target.value - 1);
}

} // namespace

void world::start_flow()
{
    const double share = random();
    simulated_flow flow;
    if (share < 0.1)
    {
        flow.last_request = static_cast<std::uint16_t>(10 + random() * 40);
        flow.pause = seconds(1);
    }
    else if (share < 0.3)
    {
        flow.last_request = 5;
        flow.pause = milliseconds(500);
    }
    ++outcome_.flows;
    flows_.push_back(flow);
    transmit(flows_.size() - 1);
    const double mean = 1 / options_.flows_per_second;
    const double gap = std::exponential_distribution<>(1 / mean)(random_);
    events_.after(duration(static_cast<std::int64_t>(gap * 1e9)),
                  [this] { start_flow(); });
}

packet_header world::header_of(std::size_t flow, packet_kind kind) const
{
    return {.kind = kind,
            .service = catalogue,
            .flow = {mix(flow, options_.seed)},
            .request = {(flow << request_bits) | flows_[flow].request}};
}

void world::transmit(std::size_t flow)
{
    simulated_flow& state = flows_[flow];
    if (++state.tries > most_tries)
    {
        break_flow(flow, true);
        return;
    }
    hand_in(header_of(flow, state.request == 0 ? packet_kind::open : packet_kind::data));
    const std::uint16_t request = state.request;
    events_.after(retry_after,
                  [this, flow, request]
                  {
                      const simulated_flow& now = flows_[flow];
                      if (now.request == request && now.is_waiting &&
                          now.state != phase::over)
                      {
                          transmit(flow);
                      }
                  });
}

void world::hand_in(const packet_header& header)
{
    const int copies = random() < options_.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        ++outcome_.packets;
        seat index = random_() % instances_.size();
        while (!instances_[index]->takes_packets)
        {
            index = random_() % instances_.size();
        }
        if (random() >= options_.loss)
        {
            events_.after(network_delay(),
                          [this, index, header] {
                              at_instance(index, [this, index, header]
                                          { route(index, header, {}); });
                          });
        }
    }
}

void world::route(seat index, const packet_header& header, instance_id from)
{
    simulated_instance& instance = *instances_[index];
    actions_.clear();
    if (options_.kind == routing::slots_keepers)
    {
        route_packet(instance.router, {header, {}, from}, events_.now(), actions_);
    }
    else
    {
        const target_id target = route_baseline(instance, options_.kind, header.flow);
        actions_.emplace_back(send_to_target{target, header, {}});
    }
    carry_out(index);
}

void world::carry_out(seat index)
{
    // What an action leads to runs later, so the list is not touched meanwhile.
    for (const action& each : actions_)
    {
        if (const auto* sent = std::get_if<send_to_target>(&each))
        {
            const target_id at = sent->target;
            const packet_header header = sent->header;
            if (!is_cut(instances_[index]->data_centre,
                        targets_[at.value - 1].data_centre))
            {
                events_.after(network_delay(), [this, index, at, header]
                              { reach_target(index, at, header); });
            }
        }
        else if (const auto* passed = std::get_if<pass_to_peer>(&each))
        {
            ++outcome_.passed_on;
            pass_packet(index, seat_of(passed->peer), passed->header);
        }
        else if (const auto* message = std::get_if<send_to_peer>(&each))
        {
            send_peer(index, *message);
        }
        else if (const auto* refused = std::get_if<send_to_caller>(&each))
        {
            break_flow(flow_of(refused->header), true);
        }
    }
}

void world::pass_packet(seat from, seat to, const packet_header& header)
{
    if (random() < options_.loss ||
        is_cut(instances_[from]->data_centre, instances_[to]->data_centre))
    {
        return;
    }
    const instance_id sender = instances_[from]->id;
    events_.after(
        network_delay(), [this, to, header, sender]
        { at_instance(to, [this, to, header, sender] { route(to, header, sender); }); });
}

void world::send_peer(seat index, const send_to_peer& sent)
{
    const simulated_instance& sender = *instances_[index];
    const seat to = seat_of(sent.peer);
    control_.add(sender.id, sent.message, events_.now());
    const bool may_be_lost = std::holds_alternative<flow_hint>(sent.message);
    if ((may_be_lost && random() < options_.loss) ||
        is_cut(sender.data_centre, instances_[to]->data_centre))
    {
        return;
    }
    const instance_id from = sender.id;
    events_.after(
        network_delay(), [this, to, from, message = sent.message]
        { at_instance(to, [this, to, from, message] { receive(to, from, message); }); });
}

void world::receive(seat index, instance_id from, const peer_message& message)
{
    flow_router& router = instances_[index]->router;
    const time_point now = events_.now();
    if (const auto* hint = std::get_if<flow_hint>(&message))
    {
        handle_hint(router, from, *hint, now);
    }
    else if (const auto* listing = std::get_if<flow_listing>(&message))
    {
        handle_listing(router, from, *listing, now);
    }
    else if (const auto* request = std::get_if<listing_request>(&message))
    {
        handle_listing_request(router, from, *request, now);
    }
}

void world::reach_target(seat index, target_id at, const packet_header& header)
{
    const std::size_t number = flow_of(header);
    simulated_flow& flow = flows_[number];
    if (flow.state == phase::over)
    {
        return;
    }
    if (flow.state == phase::established && at != flow.own)
    {
        break_flow(number, false);
    }
    if (header.kind == packet_kind::open && flow.known_by == 0)
    {
        const time_point leaving = targets_[at.value - 1].leaving_since;
        const bool is_late =
            leaving != time_point::max() && events_.now() - leaving > drain_grace;
        outcome_.late_opens += is_late ? 1U : 0U;
    }
    if (header.kind == packet_kind::open)
    {
        flow.known_by |= bit_of(at);
    }
    packet_header reply = header;
    reply.kind =
        (flow.known_by & bit_of(at)) != 0 ? packet_kind::answer : packet_kind::reset;
    if (random() >= options_.loss)
    {
        events_.after(network_delay(),
                      [this, index, at, reply] {
                          at_instance(index, [this, index, at, reply]
                                      { come_back(index, at, reply); });
                      });
    }
}

void world::come_back(seat index, target_id at, packet_header header)
{
    const flow_key key{header.service, header.flow};
    const bool is_reset = header.kind == packet_kind::reset;
    if (options_.kind == routing::slots_keepers)
    {
        flow_router& router = instances_[index]->router;
        if (is_reset && take_reset(router, key, at, events_.now()))
        {
            return;
        }
        if (!is_reset)
        {
            note_answer(router, key, at, events_.now());
        }
    }
    const std::size_t flow = flow_of(header);
    if (is_reset)
    {
        break_flow(flow, true);
        return;
    }
    const auto request = static_cast<std::uint16_t>(header.request.value);
    events_.after(network_delay(),
                  [this, flow, at, request] { answer_caller(flow, at, request); });
}

void world::answer_caller(std::size_t flow, target_id at, std::uint16_t request)
{
    simulated_flow& state = flows_[flow];
    if (state.state == phase::over || !state.is_waiting || state.request != request)
    {
        return;
    }
    if (state.state == phase::opening)
    {
        state.state = phase::established;
        state.own = at;
    }
    state.is_waiting = false;
    if (request == state.last_request)
    {
        state.state = phase::over;
        hand_in(header_of(flow, packet_kind::close));
        return;
    }
    events_.after(state.pause,
                  [this, flow]
                  {
                      simulated_flow& next = flows_[flow];
                      if (next.state != phase::over)
                      {
                          ++next.request;
                          next.tries = 0;
                          next.is_waiting = true;
                          transmit(flow);
                      }
                  });
}

void world::break_flow(std::size_t flow, bool has_failed)
{
    simulated_flow& state = flows_[flow];
    if (state.state == phase::established)
    {
        outcome_.broken += state.is_broken ? 0U : 1U;
        outcome_.failed += has_failed ? 1U : 0U;
        state.is_broken = true;
    }
    if (has_failed)
    {
        outcome_.unopened += state.state == phase::opening ? 1U : 0U;
        state.state = phase::over;
    }
}

} // namespace kumquatpath::bench
