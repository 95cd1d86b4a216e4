#ifndef KUMQUATPATH_FAKES_CALLER_HPP
#define KUMQUATPATH_FAKES_CALLER_HPP

/// \file
/// The stand-in caller: opens flows at a rate, sends requests on them, and reports what
/// became of each. A flow is opened by a packet without work, which is sent again until a
/// target answers it.
///
/// A request is sent again with the same ids until all fragments of its answer are there,
/// it is refused, or its deadline has passed.

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <support/packet_socket.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatpath::fakes
{

/// What load is made.
struct caller_options
{
    std::string name;
    endpoint fabric;
    endpoint listen;
    service_id service;
    class_id traffic_class;
    tenant_id tenant;
    double flows_per_second = 0;
    std::chrono::duration<double> opening_time{};
    bool repeatable = false;
    std::uint64_t requests_per_flow = 1;
    std::chrono::milliseconds request_interval{0};
    std::uint32_t fragments = 1;
    std::size_t fragment_bytes = 0;
    std::chrono::milliseconds retry_interval{0};
    std::chrono::milliseconds deadline{0};
    std::uint64_t seed = 1;
};

/// What became of the requests and flows.
struct caller_counts
{
    std::uint64_t sent = 0;
    std::uint64_t resent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t flows = 0;
    /// Flows that no target has taken.
    std::uint64_t unopened = 0;
    std::uint64_t broken_flows = 0;
    std::uint64_t stray_answers = 0;
    std::uint64_t wrong_answers = 0;
};

/// One flow and the request that it waits for.
struct caller_flow
{
    flow_id id;
    /// What the first target sent that answered the opening; 0 until callback.
    flow_token token;
    bool is_open = false;
    /// The number of the present request, from 1; 0 while the flow is being opened.
    request_id request;
    time_point request_sent_at;
    bool is_waiting = false;
    /// Whether each fragment of the answer has come, and how many have.
    std::vector<bool> received_fragments;
    std::size_t received_fragment_count = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
};

/// Makes the load; it stops its context when the last flow has ended.
class caller
{
public:
    /// Starts to open flows.
    caller(boost::asio::io_context& context, const caller_options& options);

    /// Returns the report that the program prints.
    boost::json::object report();

private:
    void open_due_flows();
    void open_flow();
    void handle_opening_answer(caller_flow& flow, flow_token token);
    void start_request(caller_flow& flow);
    void send_request(caller_flow& flow);
    void resend_or_give_up(caller_flow& flow);

    /// Ends a flow whose request failed; an established flow counts as broken.
    void fail_flow(const caller_flow& flow);
    void close_flow(const caller_flow& flow);
    void stop_when_done();
    void send(const caller_flow& flow, packet_kind kind,
              std::chrono::microseconds deadline);
    template <class Callback>
    void call_after(const caller_flow& flow, duration delay, Callback callback);
    void receive(const decoded_packet& packet);
    void handle_refusal(caller_flow& flow, const packet_header& header);
    void handle_fragment(caller_flow& flow, const decoded_packet& packet);

    /// Returns the target's name, or nothing when the payload is of another request.
    std::string answering_target(const decoded_packet& packet) const;
    void finish_request(caller_flow& flow);
    std::int64_t percentile(double fraction);
    boost::json::object refusals_by_reason() const;

    boost::asio::io_context& context_;
    caller_options options_;
    std::mt19937_64 random_;
    packet_socket socket_;
    boost::asio::steady_timer open_timer_;
    std::string payload_;
    time_point opening_ends_at_;
    time_point next_open_at_;
    bool has_opened_all_flows_ = false;
    caller_counts counts_;
    std::unordered_map<flow_id, caller_flow> flows_;
    std::vector<std::int64_t> latencies_;
    std::map<std::string, std::uint64_t> answers_by_target_;
    std::map<refusal_reason, std::uint64_t> refusals_;
};

} // namespace kumquatpath::fakes

#endif
