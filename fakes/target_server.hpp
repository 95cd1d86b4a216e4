#ifndef KUMQUATPATH_FAKES_TARGET_SERVER_HPP
#define KUMQUATPATH_FAKES_TARGET_SERVER_HPP

/// \file
/// A fake target with 3 slots, which accepts up to 2,000 flows per slot and does not
/// answer further openings. Each slot runs one request at a time; further requests wait
/// in a bounded queue.
///
/// A non-repeatable request runs only once: a retransmission after its answer gets the
/// answer again. The report lists these requests, so that a check over all targets can
/// detect a request that ran at two of them.

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

/// Addresses, identity and simulated performance of the target.
struct target_options
{
    /// Where packets are received.
    endpoint listen;
    /// Where the report and the control interface are served.
    endpoint http;
    std::string name;
    std::string service;
    std::string data_centre;
    /// The mean time that a request takes; the times are distributed exponentially.
    std::chrono::microseconds service_time{0};
    /// The time after the start in which requests take longer.
    std::chrono::milliseconds warm_up{0};
    /// The age of the load that is reported.
    std::chrono::milliseconds report_lag{0};
    /// Reported instead of the actual load, unless negative.
    int fixed_load = -1;
    /// How long a flow without packets is remembered.
    std::chrono::milliseconds flow_idle_timeout{0};
    std::uint64_t seed = 1;
};

/// Outcomes of the packets received.
struct target_counts
{
    /// Requests, without retransmissions of non-repeatable ones.
    std::uint64_t requests = 0;
    /// Answers sent, including repeated ones.
    std::uint64_t answered = 0;
    /// Requests refused because the queue was full.
    std::uint64_t shed = 0;
    /// Requests whose deadline passed in the queue.
    std::uint64_t expired = 0;
    /// Requests that their caller cancelled in the queue.
    std::uint64_t cancelled = 0;
    /// Packets for another service.
    std::uint64_t misdelivered = 0;
    /// Requests of flows that are not open.
    std::uint64_t unknown_flow = 0;
    /// Flows opened while the target was draining.
    std::uint64_t new_flows_in_drain = 0;
};

/// A request that waits for a slot.
struct queued_request
{
    packet_header header;
    std::string payload;
    time_point received_at;
};

/// When a flow was opened, and the instance that sent the opening.
struct received_opening
{
    time_point at;
    endpoint sender;
};

/// Accepts flows and answers their requests after a simulated service time.
class target_server
{
public:
    /// Binds the address for packets. Throws if it cannot be bound.
    target_server(boost::asio::io_context& context, const target_options& options);

    /// Returns the report that the program prints: the identity of the target, the counts
    /// since the start, the non-repeatable requests that were started, the latest
    /// openings, the number of open flows and the queue length.
    boost::json::object report() const;

    /// Measures the load, which is the number of running and queued requests, and returns
    /// the measurement of about target_options::report_lag ago. Returns
    /// target_options::fixed_load instead if that is set.
    std::uint64_t reported_load();

    /// Returns whether the target is draining.
    bool is_draining() const;

    /// Sets whether the target is draining. A draining target still accepts new flows but
    /// counts them in target_counts::new_flows_in_drain.
    void set_draining(bool draining);

private:
    void receive(const decoded_packet& packet, const endpoint& sender);
    void open_flow(const packet_header& header, const endpoint& sender);
    void record_opening(const endpoint& sender);
    void handle_request(const decoded_packet& packet);

    /// Returns whether the request is queued, running or has already run.
    bool is_duplicate(const packet_header& header) const;

    /// Sends the answer again if the request has been answered. A request that is still
    /// queued or running is answered when it finishes.
    void resend_answer(const decoded_packet& packet);

    /// Returns the new flows in the order of their openings, as pairs of the time in
    /// milliseconds of the steady clock and the address of the instance.
    boost::json::array openings() const;

    /// Returns the non-repeatable requests that were started, as "flow:request".
    boost::json::array runs() const;

    /// Removes the request from the queue and refuses it. A running request is not
    /// stopped.
    void cancel_request(const packet_header& header);

    /// Starts queued requests while a slot is free. Refuses those whose deadline has
    /// passed.
    void start_queued_requests();
    void execute(const queued_request& request);

    std::chrono::microseconds draw_service_time();

    /// Records a non-repeatable request, so that retransmissions of it are recognised.
    void record_run(const packet_header& header);

    /// Sends the fragments of the answer. Each one contains the flow, the request, the
    /// fragment number and the name of the target, padded to the requested size.
    void send_answer(const queued_request& request);
    void send_refusal(const packet_header& request, refusal_reason reason);
    /// Completes \p header with the ids and the return path of \p request, and sends the
    /// packet to the caller.
    void send_to_caller(const packet_header& request, packet_header header,
                        const std::string& payload = {});

    /// Removes flows that have been idle too long, as their close packet may have been
    /// lost.
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
    /// When the last packet of each open flow was received.
    std::unordered_map<flow_id, time_point> flows_;
    /// The latest openings, the oldest first.
    std::deque<received_opening> openings_;
    /// The non-repeatable requests that were started, and whether each has been answered.
    std::map<request_key, bool> runs_;
    /// The keys of runs_, the oldest first.
    std::deque<request_key> run_order_;
    /// Measurements of the load and their times, the oldest first.
    std::deque<std::pair<time_point, std::uint64_t>> load_history_;
};

} // namespace kumquatpath::fakes

#endif
