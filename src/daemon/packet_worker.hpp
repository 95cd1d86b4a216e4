#ifndef KUMQUATPATH_DAEMON_PACKET_WORKER_HPP
#define KUMQUATPATH_DAEMON_PACKET_WORKER_HPP

/// \file
/// The duty that steers callers' packets, hears peers and owns the state of the instance.

#include "messages.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "state_reader.hpp"

#include <kumquatpath/decision/entry_instance.hpp>
#include <kumquatpath/decision/opening_queue.hpp>
#include <kumquatpath/edge/packet_format.hpp>
#include <kumquatpath/edge/udp_socket.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace kumquatpath
{

/// Where the packet duty sends what other duties must know. Each function is called on
/// the packet duty's thread and must not wait.
struct packet_worker_outputs
{
    std::function<void(const read_request&)> request_reading;
    std::function<void(const peer_query&)> query_peer;
    std::function<void(bool)> set_ready;
};

/// What is held against a target.
struct logged_target_state
{
    bool is_suspect = false;
    bool is_failing = false;
};

/// Owns the UDP ports and the entry. All of it belongs to the thread in run().
class packet_worker
{
public:
    /// Binds the ports. Throws boost::system::system_error if that fails.
    packet_worker(const daemon_settings& settings, const packet_format& format,
                  std::uint64_t incarnation, packet_worker_outputs outputs);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Takes a message of another duty.
    void handle(packet_worker_message message);

    /// Serves until a graceful stop has ended.
    void run();

private:
    void process(source_update&& message);
    void process(source_read_failure&& message);
    void process(peer_reply&& message);
    void process(peer_query_completion&& message);
    void process(peer_state_request&& message);
    void process(page_request&& message);
    void process(stop_request&& message);
    void process(settings_update&& message);

    void receive_packets();
    void steer_packet(const received_packet& received, time_point now);
    void forward(const received_packet& received, const steering_decision& decision);
    void refuse(const flow_packet& packet, const received_packet& received,
                std::string_view why, time_point now);
    void queue_opening(const flow_packet& packet, const received_packet& received,
                       time_point now);
    void refuse_expired(time_point now);
    void place_waiting(time_point now);
    void log_placement(const flow_packet& packet, const steering_decision& decision,
                       time_point now);
    bool may_log(time_point now);
    void receive_heartbeats();
    void process_heartbeat(byte_view datagram, const endpoint& source, time_point now);
    /// Logs what has changed and, if nobody of this data centre knew it before, tells all
    /// of its instances.
    void report_state_change(std::string_view from, const state_update_result& outcome,
                             bool is_configuration_new, bool is_new_to_data_centre,
                             time_point now);
    void wait_for_tick();
    void run_tick(time_point now);
    void send_heartbeats(time_point now);
    /// Tells all peers of the own data centre and some others at once.
    void broadcast_heartbeats(time_point now);
    void send_heartbeats_in_turn(bool is_local, std::size_t max_count, time_point now);
    void send_heartbeat(const endpoint& to, time_point now);
    void contact_new_peers(time_point now);
    void query_peer_if_behind(time_point now);
    void log_target_changes(time_point now);
    /// Logs why openings wait, if some do.
    void log_waiting_openings(time_point now);

    daemon_settings settings_;
    const packet_format& format_;
    packet_worker_outputs outputs_;
    boost::asio::io_context context_{1};
    udp_socket data_port_;
    udp_socket peer_port_;
    boost::asio::steady_timer timer_;
    entry_instance self_;
    opening_queue waiting_;
    /// What flow_steering::finished_requests was when the waiting openings were last
    /// looked at.
    std::uint64_t last_released_ = 0;
    instance_metrics metrics_;
    std::vector<std::byte> output_buffer_;
    /// What was logged last of each target.
    std::vector<logged_target_state> logged_target_states_;
    bool is_query_pending_ = false;
    /// The peer that was asked and has not answered.
    instance_id unanswered_peer_;
    bool was_reading_ = false;
    /// Where the next turn of beats begins among the peers.
    std::size_t next_local_peer_ = 0;
    std::size_t next_remote_peer_ = 0;
    bool is_source_lost_ = false;
    time_point next_local_heartbeat_at_;
    time_point next_remote_heartbeat_at_;
    time_point next_seed_contact_at_;
    time_point next_waiting_log_at_;
    time_point log_refill_at_;
    std::uint32_t log_lines_left_ = 0;
    std::uint64_t reported_held_back_lines_ = 0;
};

} // namespace kumquatpath

#endif
