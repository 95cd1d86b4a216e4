#ifndef KUMQUATPATH_DAEMON_PACKET_DUTY_HPP
#define KUMQUATPATH_DAEMON_PACKET_DUTY_HPP

/// \file
/// The duty that steers callers' packets, hears peers and owns the state of the instance.

#include "messages.hpp"
#include "metrics.hpp"
#include "settings.hpp"
#include "state_duty.hpp"

#include <kumquatpath/decision/entry.hpp>
#include <kumquatpath/decision/waiting_room.hpp>
#include <kumquatpath/edge/packet_format.hpp>
#include <kumquatpath/edge/udp_socket.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace kumquatpath
{

/// Where the packet duty sends what other duties must know. Each function is called on
/// the packet duty's thread and must not wait.
struct packet_duty_outputs
{
    std::function<void(const reading_order&)> read;
    std::function<void(const ask_peer&)> ask;
    std::function<void(bool)> set_ready;
};

/// What is held against a target.
struct target_mark
{
    bool is_suspect = false;
    bool is_failing = false;
};

/// Owns the UDP ports and the entry. All of it belongs to the thread in run().
class packet_duty
{
public:
    /// Binds the ports. Throws boost::system::system_error if that fails.
    packet_duty(const daemon_settings& settings, const packet_format& format,
                std::uint64_t start, packet_duty_outputs outputs);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Takes a message of another duty.
    void handle(packet_input message);

    /// Serves until a graceful stop has ended.
    void run();

private:
    void take(state_was_read&& message);
    void take(reading_failed&& message);
    void take(state_was_told&& message);
    void take(asking_ended&& message);
    void take(state_was_asked&& message);
    void take(page_was_asked&& message);
    void take(stop_was_asked&& message);
    void take(settings_were_read&& message);

    void receive_packets();
    void steer_packet(const received_packet& received, time_point now);
    void forward(const received_packet& received, const steering_decision& decision);
    void refuse(const flow_packet& packet, const received_packet& received,
                std::string_view why, time_point now);
    void let_wait(const flow_packet& packet, const received_packet& received,
                  time_point now);
    void refuse_expired(time_point now);
    void place_waiting(time_point now);
    void log_placement(const flow_packet& packet, const steering_decision& decision,
                       time_point now);
    bool may_log(time_point now);
    void receive_beats();
    void hear(payload_view datagram, const endpoint& source, time_point now);
    /// Logs what has changed and, if nobody of this data centre knew it before, tells all
    /// of its instances.
    void note_state(std::string_view from, const state_outcome& outcome,
                    bool is_configuration_new, bool is_news_here, time_point now);
    void wait_for_tick();
    void tick_now(time_point now);
    void send_beats(time_point now);
    /// Tells all peers of the own data centre and some others at once.
    void tell_news(time_point now);
    void send_to_some(bool is_home, std::size_t most, time_point now);
    void send_beat(const endpoint& to, time_point now);
    void find_seeds(time_point now);
    void follow_state(time_point now);
    void watch_targets(time_point now);
    /// Logs why openings wait, if some do.
    void watch_limits(time_point now);

    daemon_settings settings_;
    const packet_format& format_;
    packet_duty_outputs outputs_;
    boost::asio::io_context context_{1};
    udp_socket data_;
    udp_socket peers_;
    boost::asio::steady_timer timer_;
    entry self_;
    waiting_room waiting_;
    /// What flow_steering::released was when the waiting openings were last looked at.
    std::uint64_t released_ = 0;
    instance_metrics metrics_;
    std::vector<std::byte> scratch_;
    /// What was logged last of each target.
    std::vector<target_mark> marks_;
    bool is_asking_ = false;
    /// The peer that was asked and has not answered.
    instance_id last_asked_;
    bool was_reading_ = false;
    /// Where the next turn of beats begins among the peers.
    std::size_t next_home_peer_ = 0;
    std::size_t next_far_peer_ = 0;
    bool is_source_lost_ = false;
    time_point next_home_beat_;
    time_point next_far_beat_;
    time_point next_seeds_;
    time_point next_limits_;
    time_point log_refill_;
    std::uint32_t log_allowance_ = 0;
    std::uint64_t logged_held_back_ = 0;
};

} // namespace kumquatpath

#endif
