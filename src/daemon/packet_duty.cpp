#include "packet_duty.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/edge/packet_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <chrono>
#include <type_traits>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

constexpr auto tick_interval = std::chrono::milliseconds(20);
constexpr duration snapshot_interval = std::chrono::milliseconds(250);
/// Batches that one port receives before the others get their turn.
constexpr int batches_a_turn = 8;
constexpr std::size_t usual_actions = 64;
constexpr std::size_t usual_datagram = 2048;

member_digest own_digest(const daemon_settings& settings)
{
    const auto started = wall_now().time_since_epoch().count();
    return {.instance = id_of<instance_id>(settings.name),
            .incarnation = {static_cast<std::uint64_t>(started)},
            .data_centre = id_of<data_centre_id>(settings.data_centre),
            .address = settings.peer};
}

/// Calls \p decode and returns what it read; counts the reason when it fails.
template <class Decode>
auto decode_or_count(metrics& counters, Decode decode)
{
    using decoded = std::remove_cvref_t<decltype(decode().value())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<decoded>>
        {
            BOOST_LEAF_AUTO(value, decode());
            return std::optional<decoded>(std::move(value));
        },
        [&](drop_reason reason)
        {
            ++counters.drops[static_cast<std::size_t>(reason)];
            return std::optional<decoded>();
        },
        [&]
        {
            ++counters.drops[static_cast<std::size_t>(drop_reason::malformed)];
            return std::optional<decoded>();
        });
}

bool is_from_caller(packet_kind kind)
{
    return kind <= packet_kind::cancel;
}

} // namespace

packet_duty::packet_duty(const daemon_settings& settings, packet_duty_outputs outputs)
    : settings_(settings), outputs_(std::move(outputs)),
      state_(make_instance({.self = own_digest(settings)}, monotonic_now())),
      packet_builder_(usual_datagram), peer_builder_(usual_datagram),
      listeners_(context_, settings.data_address,
                 [this](open_listener& listener) { receive_from_callers(listener); }),
      target_port_(context_, settings.egress, longest_datagram),
      peer_port_(context_, settings.peer, longest_peer_datagram)
{
    actions_.reserve(usual_actions);
    for (const seed_peer& each : settings_.seeds)
    {
        note_listed(state_.members,
                    {.instance = id_of<instance_id>(each.name), .address = each.address},
                    monotonic_now());
    }
    target_port_.on_readable([this] { receive_from_targets(); });
    peer_port_.on_readable([this] { receive_from_peers(); });
    wait_for_tick();
}

packet_duty::~packet_duty() = default;

boost::asio::io_context& packet_duty::context()
{
    return context_;
}

void packet_duty::run()
{
    context_.run();
}

void packet_duty::handle(packet_message message)
{
    if (const auto* const envelope = std::get_if<checked_envelope>(&message))
    {
        adopt(*envelope);
        return;
    }
    if (const auto* const listed = std::get_if<members_listed>(&message))
    {
        note_listed_members(*listed);
        return;
    }
    if (const auto* const lease = std::get_if<lease_answer>(&message))
    {
        receive_store_answer(state_, *lease);
        return;
    }
    if (const auto* const told = std::get_if<roster_answer>(&message))
    {
        receive_store_answer(state_, *told, monotonic_now());
        return;
    }
    if (!state_.is_leaving)
    {
        log(log_level::info, "stop_began", {{"unanswered", state_.inflight.used}});
        begin_leaving(state_, monotonic_now());
    }
}

void packet_duty::adopt(const checked_envelope& envelope)
{
    if (!adopt_configuration(state_, envelope.whole, wall_now(), monotonic_now()))
    {
        return;
    }
    envelope_text_ = envelope.text;
    listeners_.adopt(*envelope.whole);
    index_targets(*envelope.whole);
    published_version_ = 0;
    log(log_level::info, "configuration_adopted",
        {{"generation", envelope.whole->generation.value}});
}

void packet_duty::index_targets(const configuration& whole)
{
    target_addresses_.clear();
    targets_by_address_.clear();
    for (const target_pool& pool : whole.pools)
    {
        for (const target& each : pool.targets)
        {
            target_addresses_[each.id] = each.address;
            targets_by_address_[each.address] = each.id;
        }
    }
}

void packet_duty::note_listed_members(const members_listed& listed)
{
    const time_point now = monotonic_now();
    if (listed.is_from_peer)
    {
        merge_members(state_.members, listed.members, now);
        return;
    }
    for (const member_digest& each : listed.members)
    {
        note_listed(state_.members, each, now);
    }
}

template <class Handle>
void packet_duty::receive_batches(udp_port& port, Handle handle)
{
    for (int turn = 0; turn < batches_a_turn; ++turn)
    {
        const auto batch = port.receive();
        if (batch.empty())
        {
            break;
        }
        const time_point now = monotonic_now();
        for (const received_datagram& each : batch)
        {
            handle(each, now);
        }
        flush();
    }
}

void packet_duty::receive_from_callers(open_listener& listener)
{
    receive_batches(*listener.port, [&](const received_datagram& each, time_point now)
                    { handle_caller_datagram(listener, each, now); });
}

void packet_duty::receive_from_targets()
{
    receive_batches(target_port_, [this](const received_datagram& each, time_point now)
                    { handle_target_datagram(each, now); });
}

void packet_duty::receive_from_peers()
{
    receive_batches(peer_port_, [this](const received_datagram& each, time_point now)
                    { handle_peer_datagram(each, now); });
}

void packet_duty::handle_caller_datagram(const open_listener& listener,
                                         const received_datagram& datagram,
                                         time_point now)
{
    ++metrics_.packets_received;
    auto read = decode_or_count(metrics_, [&] { return decode_packet(datagram.bytes); });
    if (!read)
    {
        return;
    }
    if (!is_from_caller(read->header.kind))
    {
        carry_out_one(drop_packet{drop_reason::unexpected_kind});
        return;
    }
    read->header.service = listener.service;
    read->header.return_path = datagram.source;
    read->header.hops = 0;
    decide_caller_packet(state_, read->header, read->payload, now, actions_);
    carry_out();
}

void packet_duty::handle_target_datagram(const received_datagram& datagram,
                                         time_point now)
{
    const auto sender = targets_by_address_.find(datagram.source);
    if (sender == targets_by_address_.end())
    {
        carry_out_one(drop_packet{drop_reason::stale_answer});
        return;
    }
    const auto read =
        decode_or_count(metrics_, [&] { return decode_packet(datagram.bytes); });
    if (!read)
    {
        return;
    }
    if (is_from_caller(read->header.kind))
    {
        carry_out_one(drop_packet{drop_reason::unexpected_kind});
        return;
    }
    decide_target_packet(state_, sender->second, read->header, read->payload, now,
                         actions_);
    carry_out();
}

void packet_duty::handle_peer_datagram(const received_datagram& datagram, time_point now)
{
    if (!is_in(settings_.peer_networks, datagram.source.address))
    {
        carry_out_one(drop_packet{drop_reason::unauthenticated_peer});
        return;
    }
    const auto read = decode_or_count(
        metrics_, [&]
        { return decode_peer(datagram.bytes, settings_.key, longest_peer_datagram); });
    if (!read)
    {
        return;
    }
    if (const auto* const passed = std::get_if<passed_packet>(&read->body))
    {
        handle_passed_packet(read->sender, passed->datagram, now);
        return;
    }
    if (const auto* const message = std::get_if<peer_message>(&read->body))
    {
        decide_peer_message(state_, read->sender, *message, now, actions_);
        carry_out();
    }
}

void packet_duty::handle_passed_packet(instance_id sender, payload_view datagram,
                                       time_point now)
{
    const auto read = decode_or_count(metrics_, [&] { return decode_packet(datagram); });
    if (!read)
    {
        return;
    }
    decide_passed_packet(state_, sender, read->header, read->payload, now, actions_);
    carry_out();
}

void packet_duty::carry_out()
{
    for (const action& each : actions_)
    {
        std::visit([this](const auto& order) { carry_out_one(order); }, each);
    }
    actions_.clear();
    count_finished();
}

void packet_duty::carry_out_one(const send_to_target& order)
{
    const auto found = target_addresses_.find(order.target);
    if (found == target_addresses_.end())
    {
        carry_out_one(drop_packet{drop_reason::no_target});
        return;
    }
    target_port_.queue(found->second,
                       encode_packet(packet_builder_, order.header, order.payload));
}

void packet_duty::carry_out_one(const send_to_caller& order)
{
    if (order.header.kind == packet_kind::refusal)
    {
        ++metrics_.refusals[static_cast<std::size_t>(order.header.reason)];
    }
    open_listener* const listener = listeners_.find(order.header.service);
    if (listener == nullptr)
    {
        carry_out_one(drop_packet{drop_reason::unknown_listener});
        return;
    }
    listener->port->queue(order.header.return_path,
                          encode_packet(packet_builder_, order.header, order.payload));
}

void packet_duty::carry_out_one(const pass_to_peer& order)
{
    const payload_view datagram =
        encode_packet(packet_builder_, order.header, order.payload);
    ++metrics_.packets_passed_on;
    metrics_.packet_bytes_passed_on += datagram.size();
    send_peer_body(order.peer, passed_packet{datagram});
}

void packet_duty::carry_out_one(const send_to_peer& order)
{
    send_peer_body(order.peer, order.message);
    metrics_.control_bytes_sent += peer_bytes_.size();
}

void packet_duty::carry_out_one(const drop_packet& order)
{
    ++metrics_.drops[static_cast<std::size_t>(order.reason)];
}

void packet_duty::send_peer_body(instance_id peer, const peer_body& body)
{
    peer_bytes_.clear();
    const known_member* const known = find_member(state_.members, peer);
    if (known == nullptr)
    {
        carry_out_one(drop_packet{drop_reason::no_keeper});
        return;
    }
    encode_peer(peer_builder_,
                {.sender = state_.members.self.instance,
                 .sequence = ++peer_sequence_,
                 .body = body},
                settings_.key, peer_bytes_);
    peer_port_.queue(known->digest.address, peer_bytes_);
}

void packet_duty::flush()
{
    target_port_.flush();
    peer_port_.flush();
    listeners_.flush();
}

void packet_duty::count_finished()
{
    for (const finished_request& each : state_.finished)
    {
        outcome_counters& outcomes = metrics_.outcomes;
        if (each.has_timed_out)
        {
            ++outcomes.timed_out;
            continue;
        }
        outcomes.answered += each.outcome == request_outcome::answered ? 1U : 0U;
        outcomes.refused_not_run += each.outcome == request_outcome::not_run ? 1U : 0U;
        outcomes.refused_unknown += each.outcome == request_outcome::unknown ? 1U : 0U;
        const inflight_request& request = each.request;
        add_latency(metrics_, {request.service, request.tenant, request.traffic_class},
                    each.latency);
    }
    state_.finished.clear();
}

void packet_duty::wait_for_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (!failure)
            {
                on_tick();
            }
        });
}

void packet_duty::on_tick()
{
    const time_point now = monotonic_now();
    tick(state_, wall_now(), now, actions_);
    carry_out();
    flush();
    order_store_commands();
    fetch_newer_configuration(now);
    if (now - last_snapshot_ >= snapshot_interval)
    {
        last_snapshot_ = now;
        tell_platform_duty();
        refresh_drains(now);
        publish_snapshot();
    }
    if (has_left(state_, now))
    {
        const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - state_.leaving_since);
        log(log_level::info, "stop_ended", {{"took_ms", taken.count()}});
        context_.stop();
        return;
    }
    wait_for_tick();
}

} // namespace kumquatpath
