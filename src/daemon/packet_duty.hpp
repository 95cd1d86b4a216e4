#ifndef KUMQUATPATH_DAEMON_PACKET_DUTY_HPP
#define KUMQUATPATH_DAEMON_PACKET_DUTY_HPP

/// \file
/// The duty that receives packets, decides them and sends them on.

#include "listener_set.hpp"
#include "messages.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "snapshot.hpp"

#include <kumquatpath/decision/instance.hpp>
#include <kumquatpath/edge/inbox.hpp>
#include <kumquatpath/edge/udp_port.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <flatbuffers/flatbuffers.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace kumquatpath
{

/// Where the packet duty sends what the other duties must know. Each function is called
/// on the thread of the packet duty and must not wait.
struct packet_duty_outputs
{
    std::function<void(transfer_message)> transfer;
    std::function<void(platform_message)> platform;
    std::function<void(roster_order)> roster;
    std::function<void(shared_snapshot)> operators;
};

/// Owns every UDP socket and the instance_state. All of it belongs to the thread in
/// run().
///
/// A packet that cannot be served is counted by reason and dropped; it costs no memory.
class packet_duty
{
public:
    /// Binds the ports of peers and targets; listeners follow with the configuration.
    /// Throws boost::system::system_error if a port cannot be bound.
    packet_duty(const daemon_settings& settings, packet_duty_outputs outputs);
    ~packet_duty();
    packet_duty(const packet_duty&) = delete;
    packet_duty& operator=(const packet_duty&) = delete;

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Takes a message of another duty.
    void handle(packet_message message);

    /// Serves until a stop was requested and has ended.
    void run();

private:
    void adopt(const checked_envelope& envelope);
    void index_targets(const configuration& whole);
    void note_listed_members(const members_listed& listed);

    void receive_from_callers(open_listener& listener);
    void receive_from_targets();
    void receive_from_peers();
    template <class Handle>
    void receive_batches(udp_port& port, Handle handle);
    void handle_caller_datagram(const open_listener& listener,
                                const received_datagram& datagram, time_point now);
    void handle_target_datagram(const received_datagram& datagram, time_point now);
    void handle_peer_datagram(const received_datagram& datagram, time_point now);
    void handle_passed_packet(instance_id sender, payload_view datagram, time_point now);

    void carry_out();
    void carry_out_one(const send_to_target& order);
    void carry_out_one(const send_to_caller& order);
    void carry_out_one(const pass_to_peer& order);
    void carry_out_one(const send_to_peer& order);
    void carry_out_one(const drop_packet& order);
    void send_peer_body(instance_id peer, const peer_body& body);
    void flush();
    void count_finished();

    void wait_for_tick();
    void on_tick();
    void tell_platform_duty();
    void order_store_commands();
    void fetch_newer_configuration(time_point now);
    void publish_snapshot();
    void refresh_drains(time_point now);
    shared_snapshot make_snapshot() const;

    daemon_settings settings_;
    packet_duty_outputs outputs_;
    boost::asio::io_context context_{1};
    boost::asio::steady_timer timer_{context_};
    instance_state state_;
    metrics metrics_;
    action_list actions_;
    flatbuffers::FlatBufferBuilder packet_builder_;
    flatbuffers::FlatBufferBuilder peer_builder_;
    std::vector<std::byte> peer_bytes_;
    std::uint64_t peer_sequence_ = 0;
    listener_set listeners_;
    std::unordered_map<target_id, endpoint> target_addresses_;
    std::map<endpoint, target_id> targets_by_address_;
    udp_port target_port_;
    udp_port peer_port_;
    std::shared_ptr<const std::string> envelope_text_;
    time_point last_snapshot_{};
    time_point last_drains_{};
    std::vector<drain_status> drains_;
    time_point last_fetch_{};
    std::uint64_t published_version_ = 0;
};

} // namespace kumquatpath

#endif
