#include "packet_worker.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/log.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The intervals between rounds of heartbeats to peers in this data centre (local) and in
/// others (remote).
constexpr duration local_heartbeat_interval = std::chrono::milliseconds(400);
constexpr duration local_heartbeat_interval_of_large_fleet =
    std::chrono::milliseconds(100);
constexpr duration remote_heartbeat_interval = std::chrono::milliseconds(400);
constexpr duration remote_heartbeat_interval_of_large_fleet =
    std::chrono::milliseconds(1600);
/// How many peers get a heartbeat in each round. If there are more, successive rounds
/// take them in turn.
constexpr std::size_t local_heartbeats_per_round = 6;
constexpr std::size_t local_heartbeats_per_round_of_large_fleet = 2;
constexpr std::size_t remote_heartbeats_per_round = 4;
/// A query whose completion has not been reported after this time is given up. Longer
/// than the longest session of the state_transfer.
constexpr duration max_query_time = std::chrono::seconds(3);
constexpr duration seed_contact_interval = std::chrono::milliseconds(250);
constexpr duration traffic_log_interval = std::chrono::seconds(10);

} // namespace

void packet_worker::receive_heartbeats()
{
    const time_point now = monotonic_now();
    bool may_have_more = true;
    for (std::size_t i = 0; may_have_more && i < max_batches_per_wake_up; ++i)
    {
        const auto batch = peer_socket_.receive();
        for (const received_datagram& each : batch)
        {
            process_peer_datagram(each.bytes, each.source, now);
        }
        may_have_more = batch.size() == udp_socket::batch_size;
    }
    peer_socket_.flush();
    query_peer_if_behind(now);
}

void packet_worker::process_peer_datagram(byte_view datagram, const endpoint& source,
                                          time_point now)
{
    metrics_.control.heartbeats.received += datagram.size();
    const auto message =
        decode_fleet_message(datagram, settings_.key, max_fleet_datagram_bytes);
    if (const auto* const notice =
            message ? std::get_if<flow_notice>(&message->body) : nullptr)
    {
        process_flow_notice(message->sender, *notice, source, now);
        return;
    }
    const auto* const heartbeat =
        message ? std::get_if<fleet_heartbeat>(&message->body) : nullptr;
    if (heartbeat == nullptr || heartbeat->address.address != source.address)
    {
        ++metrics_.peer_messages_refused;
        return;
    }
    const evidence_counts before = self_.evidence;
    const heartbeat_result outcome = handle_heartbeat(self_, *message, *heartbeat, now);
    log_dropped_evidence(heartbeat->address, before, now);
    if (outcome.is_new)
    {
        log(log_level::info, "peer_heard",
            {{"peer", to_string(heartbeat->address)},
             {"position", heartbeat->position.value}});
        send_heartbeat(heartbeat->address,
                       heartbeat->data_centre == self_.fleet.local_data_centre, now);
    }
}

void packet_worker::process_flow_notice(instance_id sender, const flow_notice& notice,
                                        const endpoint& source, time_point now)
{
    const auto peer = self_.fleet.peers.find(sender);
    if (peer == self_.fleet.peers.end() || peer->second.address.address != source.address)
    {
        ++metrics_.peer_messages_refused;
        return;
    }
    send_corrections(notice.flow,
                     apply_flow_notice(self_.corrections, self_.steering, self_.directory,
                                       notice, now),
                     notice.target, now);
    data_socket_.flush();
}

void packet_worker::send_to_local_peers(const flow_notice& notice, time_point now)
{
    const std::vector<std::byte> bytes =
        encode_fleet_message({.sender = self_.fleet.self, .body = notice}, settings_.key);
    for (const auto& [instance, peer] : self_.fleet.peers)
    {
        if (peer.data_centre == self_.fleet.local_data_centre &&
            is_live(self_.fleet, peer, now))
        {
            metrics_.control.heartbeats.sent += bytes.size();
            peer_socket_.queue(peer.address, bytes);
        }
    }
    peer_socket_.flush();
}

void packet_worker::send_heartbeats(time_point now)
{
    const bool is_large_fleet = is_large(self_.fleet);
    if (now >= next_local_heartbeat_at_)
    {
        next_local_heartbeat_at_ =
            now + (is_large_fleet ? local_heartbeat_interval_of_large_fleet
                                  : local_heartbeat_interval);
        send_heartbeats_in_turn(true,
                                is_large_fleet ? local_heartbeats_per_round_of_large_fleet
                                               : local_heartbeats_per_round,
                                now);
    }
    if (now >= next_remote_heartbeat_at_)
    {
        next_remote_heartbeat_at_ =
            now + (is_large_fleet ? remote_heartbeat_interval_of_large_fleet
                                  : remote_heartbeat_interval);
        send_heartbeats_in_turn(false, remote_heartbeats_per_round, now);
    }
    peer_socket_.flush();
}

void packet_worker::send_heartbeats_in_turn(bool is_local, std::size_t max_count,
                                            time_point now)
{
    std::vector<endpoint> candidates;
    for (const auto& [instance, peer] : self_.fleet.peers)
    {
        if ((peer.data_centre == self_.fleet.local_data_centre) == is_local)
        {
            candidates.push_back(peer.address);
        }
    }
    std::size_t& next = is_local ? next_local_peer_ : next_remote_peer_;
    for (std::size_t i = 0; i < std::min(max_count, candidates.size()); ++i)
    {
        send_heartbeat(candidates[next++ % candidates.size()], is_local, now);
    }
}

void packet_worker::log_dropped_evidence(const endpoint& peer,
                                         const evidence_counts& before, time_point now)
{
    boost::json::object fields = {{"peer", to_string(peer)}};
    for (std::size_t i = 0; i < evidence_drop_count; ++i)
    {
        const std::uint64_t entries = self_.evidence.dropped[i] - before.dropped[i];
        if (entries > 0)
        {
            fields[to_string(static_cast<evidence_drop>(i))] = entries;
        }
    }
    if (fields.size() > 1 && may_log(now))
    {
        log(log_level::warning, "evidence_dropped", std::move(fields));
    }
}

void packet_worker::send_heartbeat(const endpoint& to, bool is_local, time_point now)
{
    ++self_.heartbeats_sent;
    fleet_heartbeat heartbeat = make_heartbeat(self_, now);
    if (is_local)
    {
        add_evidence(self_, heartbeat, now);
    }
    const fleet_message message{.sender = self_.fleet.self,
                                .sequence = self_.heartbeats_sent,
                                .body = std::move(heartbeat)};
    const std::vector<std::byte> bytes = encode_fleet_message(message, settings_.key);
    metrics_.control.heartbeats.sent += bytes.size();
    peer_socket_.queue(to, bytes);
}

void packet_worker::count_control_traffic()
{
    const worker_traffic others = outputs_.total_traffic();
    metrics_.control.state_transfers = others.state_transfers;
    metrics_.control.store = others.store;
}

void packet_worker::log_control_traffic(time_point now)
{
    if (now < next_traffic_log_at_)
    {
        return;
    }
    next_traffic_log_at_ = now + traffic_log_interval;
    count_control_traffic();
    const control_traffic& control = metrics_.control;
    log(log_level::info, "control_traffic",
        {{"peers", self_.fleet.peers.size()},
         {"heartbeats_sent", control.heartbeats.sent},
         {"heartbeats_received", control.heartbeats.received},
         {"state_transfers_sent", control.state_transfers.sent},
         {"state_transfers_received", control.state_transfers.received},
         {"store_sent", control.store.sent},
         {"store_received", control.store.received}});
}

void packet_worker::contact_new_peers(time_point now)
{
    if (now < next_seed_contact_at_)
    {
        return;
    }
    next_seed_contact_at_ = now + seed_contact_interval;
    for (const endpoint& each : settings_.seeds)
    {
        const endpoint seed{.address = each.address, .port = settings_.peer.port};
        const bool is_known =
            seed.address == settings_.peer.address ||
            std::any_of(self_.fleet.peers.begin(), self_.fleet.peers.end(),
                        [&](const auto& peer) { return peer.second.address == seed; });
        if (!is_known)
        {
            send_heartbeat(seed, false, now);
        }
    }
    for (const fleet_member& each : self_.fleet.peer_candidates)
    {
        send_heartbeat(each.address, false, now);
    }
    self_.fleet.peer_candidates.clear();
    peer_socket_.flush();
}

void packet_worker::query_peer_if_behind(time_point now)
{
    if (now < query_pending_until_)
    {
        return;
    }
    const fleet_peer* const peer = choose_sync_peer(self_, unanswered_peer_, now);
    if (peer == nullptr)
    {
        return;
    }
    const bool is_queued =
        outputs_.query_peer({.peer = peer->address,
                             .instance = peer->instance,
                             .request = {.position = self_.directory.position,
                                         .configuration = version_of_configuration(self_),
                                         .accepts_compressed_text = true}});
    if (is_queued)
    {
        query_pending_until_ = now + max_query_time;
        unanswered_peer_ = peer->instance;
    }
}

void packet_worker::broadcast_heartbeats(time_point now)
{
    send_heartbeats_in_turn(true, self_.fleet.peers.size(), now);
    send_heartbeats_in_turn(false, remote_heartbeats_per_round, now);
    peer_socket_.flush();
}

} // namespace kumquatpath
