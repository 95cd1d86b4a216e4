#ifndef KUMQUATPATH_FAKES_TARGET_SERVER_HPP
#define KUMQUATPATH_FAKES_TARGET_SERVER_HPP

/// \file
/// The stand-in target: 3 slots of 2,000 connections each that answer packets.
///
/// A copy of a request that may not be repeated is answered from memory. The requests
/// that ran are reported, so that one which ran at two targets is seen. A request waits
/// in a bounded queue for a slot.

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <support/packet_socket.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

namespace kumquatpath::fakes
{

/// What the target serves, and how well.
struct target_options
{
    endpoint listen;
    endpoint http;
    std::string name;
    std::string service;
    std::string data_centre;
    std::chrono::microseconds service_time{0};
    std::chrono::milliseconds warm_up{0};
    std::chrono::milliseconds report_lag{0};
    int fixed_load = -1;
    std::chrono::milliseconds flow_idle_timeout{0};
    std::uint64_t seed = 1;
};

/// What became of the packets.
struct target_counts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t misdelivered = 0;
    std::uint64_t unknown_flow = 0;
    std::uint64_t new_flows_in_drain = 0;
};

/// A request that waits for a slot.
struct queued_request
{
    packet_header header;
    std::string payload;
    time_point received_at;
};

/// The flows, the queue and the slots of one target.
class target_server
{
public:
    /// Binds the address for packets. Throws when it can't.
    target_server(boost::asio::io_context& context, const target_options& options);

    /// Returns the counts so far.
    boost::json::object report() const;

    /// Returns the load as the target tells it: as it was a while ago, or a fixed lie.
    std::uint64_t reported_load();

    /// Returns whether the target was told to drain.
    bool is_draining() const;

    /// Sets whether a new flow counts as one too many.
    void set_draining(bool draining);

private:
    void receive(const decoded_packet& packet);
    void open_flow(const packet_header& header);
    void handle_request(const decoded_packet& packet);
    /// Returns whether the request waits, runs or has run already.
    bool is_duplicate(const packet_header& header) const;
    void resend_answer(const decoded_packet& packet);
    /// Returns the requests that ran and may run once only, for a check over all targets.
    boost::json::array runs() const;
    void cancel_request(const packet_header& header);

    /// Starts queued requests for as long as a slot is free.
    void start_queued_requests();
    void execute(const queued_request& request);

    std::chrono::microseconds draw_service_time();
    void record_run(const packet_header& header);

    /// Sends the answer: each fragment names its request and the target, and is padded.
    void send_answer(const queued_request& request);
    void send_refusal(const packet_header& request, refusal_reason reason);
    void send_reply(const packet_header& request, packet_header header,
                    const std::string& payload = {});

    /// Forgets flows that were silent too long: their close may have been lost.
    void remove_idle_flows_periodically();

    using request_key = std::pair<flow_id, request_id>;

    boost::asio::io_context& context_;
    target_options options_;
    std::mt19937_64 random_;
    service_id service_;
    time_point started_at_;
    packet_socket socket_;
    boost::asio::steady_timer idle_timer_;
    target_counts counts_;
    std::deque<queued_request> queue_;
    std::size_t busy_slots_ = 0;
    bool is_draining_ = false;
    /// When each open flow was last heard of.
    std::unordered_map<flow_id, time_point> flows_;
    /// Whether each request that ran has been answered.
    std::map<request_key, bool> runs_;
    std::deque<request_key> run_order_;
    std::deque<std::pair<time_point, std::uint64_t>> load_history_;
};

} // namespace kumquatpath::fakes

#endif
