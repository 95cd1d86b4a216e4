#include "packet_duty.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/log.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// How often some peers get a sign of life.
constexpr duration home_beat_interval = std::chrono::milliseconds(400);
constexpr duration home_beat_interval_of_large_fleet = std::chrono::milliseconds(100);
constexpr duration far_beat_interval = std::chrono::milliseconds(400);
constexpr duration far_beat_interval_of_large_fleet = std::chrono::milliseconds(1600);
/// Peers that are told each time; in a large fleet they take turns.
constexpr std::size_t home_beats_a_turn = 6;
constexpr std::size_t home_beats_a_turn_of_large_fleet = 2;
constexpr std::size_t far_beats_a_turn = 4;
constexpr duration seeds_interval = std::chrono::milliseconds(250);

} // namespace

void packet_duty::receive_beats()
{
    const time_point now = monotonic_now();
    bool may_have_more = true;
    while (may_have_more)
    {
        const auto batch = peers_.receive();
        for (const received_datagram& each : batch)
        {
            hear(each.bytes, each.source, now);
        }
        may_have_more = batch.size() == udp_socket::batch_size;
    }
    peers_.flush();
    follow_state(now);
}

void packet_duty::hear(payload_view datagram, const endpoint& source, time_point now)
{
    const auto message =
        decode_fleet_message(datagram, settings_.key, max_fleet_datagram_bytes);
    const auto* const beat = message ? std::get_if<fleet_beat>(&message->body) : nullptr;
    if (beat == nullptr || beat->address.address != source.address)
    {
        ++metrics_.peer_messages_refused;
        return;
    }
    const beat_outcome outcome = take_beat(self_, *message, *beat, now);
    if (outcome.is_new)
    {
        log(log_level::info, "peer_heard",
            {{"peer", to_string(beat->address)}, {"position", beat->position.value}});
        send_beat(beat->address, now);
    }
}

void packet_duty::send_beats(time_point now)
{
    const bool is_large_fleet = is_large(self_.fleet);
    if (now >= next_home_beat_)
    {
        next_home_beat_ = now + (is_large_fleet ? home_beat_interval_of_large_fleet
                                                : home_beat_interval);
        send_to_some(
            true, is_large_fleet ? home_beats_a_turn_of_large_fleet : home_beats_a_turn,
            now);
    }
    if (now >= next_far_beat_)
    {
        next_far_beat_ =
            now + (is_large_fleet ? far_beat_interval_of_large_fleet : far_beat_interval);
        send_to_some(false, far_beats_a_turn, now);
    }
    peers_.flush();
}

void packet_duty::send_to_some(bool is_home, std::size_t most, time_point now)
{
    std::vector<endpoint> candidates;
    for (const auto& [instance, peer] : self_.fleet.peers)
    {
        if ((peer.data_centre == self_.fleet.home) == is_home)
        {
            candidates.push_back(peer.address);
        }
    }
    std::size_t& next = is_home ? next_home_peer_ : next_far_peer_;
    for (std::size_t i = 0; i < std::min(most, candidates.size()); ++i)
    {
        send_beat(candidates[next++ % candidates.size()], now);
    }
}

void packet_duty::send_beat(const endpoint& to, time_point now)
{
    ++self_.beats_sent;
    const fleet_message message{.sender = self_.fleet.self,
                                .sequence = self_.beats_sent,
                                .body = make_beat(self_, now)};
    const std::vector<std::byte> bytes = encode_fleet_message(message, settings_.key);
    metrics_.control_bytes_sent += bytes.size();
    peers_.queue(to, bytes);
}

void packet_duty::find_seeds(time_point now)
{
    if (now < next_seeds_)
    {
        return;
    }
    next_seeds_ = now + seeds_interval;
    for (const endpoint& each : settings_.seeds)
    {
        const endpoint seed{.address = each.address, .port = settings_.peer.port};
        const bool is_known =
            seed.address == settings_.peer.address ||
            std::any_of(self_.fleet.peers.begin(), self_.fleet.peers.end(),
                        [&](const auto& peer) { return peer.second.address == seed; });
        if (!is_known)
        {
            send_beat(seed, now);
        }
    }
    for (const fleet_member& each : self_.fleet.strangers)
    {
        send_beat(each.address, now);
    }
    self_.fleet.strangers.clear();
    peers_.flush();
}

void packet_duty::follow_state(time_point now)
{
    if (is_asking_)
    {
        return;
    }
    const fleet_peer* const teller = choose_teller(self_, last_asked_, now);
    if (teller == nullptr)
    {
        return;
    }
    is_asking_ = true;
    last_asked_ = teller->instance;
    outputs_.ask({.peer = teller->address,
                  .instance = teller->instance,
                  .request = {.position = self_.directory.position,
                              .configuration = self_.configuration.revision}});
}

void packet_duty::tell_news(time_point now)
{
    send_to_some(true, self_.fleet.peers.size(), now);
    send_to_some(false, far_beats_a_turn, now);
    peers_.flush();
}

} // namespace kumquatpath
