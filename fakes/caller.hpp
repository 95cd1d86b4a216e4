#ifndef KUMQUATPATH_FAKES_CALLER_HPP
#define KUMQUATPATH_FAKES_CALLER_HPP

/// \file
/// A fake caller that generates load: it opens flows at a given rate, sends requests on
/// them and counts the outcomes.
///
/// A flow is opened by a packet that carries no request. The caller retransmits this
/// packet until a target answers it, and a request with the same ids until all fragments
/// of its answer have arrived. It gives up on a refusal, on a reset, or when the deadline
/// passes.

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

/// The load to generate.
struct caller_options
{
    /// The name in the report.
    std::string name;
    /// The listener of the fabric that packets are sent to.
    endpoint fabric;
    /// The local address to send from.
    endpoint listen;
    service_id service;
    class_id traffic_class;
    tenant_id tenant;
    /// The mean rate of new flows; they arrive as a Poisson process.
    double flows_per_second = 0;
    /// How long new flows arrive.
    std::chrono::duration<double> arrival_duration{};
    bool repeatable = false;
    std::uint64_t requests_per_flow = 1;
    /// The pause between an answer and the next request of the flow.
    std::chrono::milliseconds request_interval{0};
    /// The number of fragments of an answer, and the payload bytes of each.
    std::uint32_t fragments = 1;
    std::size_t fragment_bytes = 0;
    /// How long to wait for an answer before retransmission.
    std::chrono::milliseconds retry_interval{0};
    /// How long to try an opening or a request before giving up.
    std::chrono::milliseconds deadline{0};
    std::uint64_t seed = 1;
};

/// Outcomes of the requests and flows.
struct caller_counts
{
    /// Requests sent, without retransmissions.
    std::uint64_t sent = 0;
    /// Retransmissions of openings and requests.
    std::uint64_t resent = 0;
    std::uint64_t answered = 0;
    /// Refusals of openings and of requests that did not run.
    std::uint64_t refused_not_run = 0;
    /// All other refusals: the request may have run.
    std::uint64_t unknown = 0;
    /// Requests without a complete answer before the deadline.
    std::uint64_t timed_out = 0;
    std::uint64_t flows = 0;
    /// Flows whose opening was not answered before the deadline.
    std::uint64_t unopened = 0;
    /// Flows that were reset, or closed because their second or a later request failed.
    std::uint64_t broken_flows = 0;
    /// Packets of unknown flows or of requests that are no longer waiting.
    std::uint64_t stray_answers = 0;
    /// Fragments whose payload, service or number does not match the request.
    std::uint64_t wrong_answers = 0;
};

/// A flow and its current request.
struct caller_flow
{
    flow_id id;
    /// The token from the first answer to the opening; 0 before that.
    flow_token token;
    bool is_open = false;
    /// The number of the current request, from 1; 0 while the flow is being opened.
    request_id request;
    /// When the current opening or request was first sent.
    time_point request_sent_at;
    /// Whether the current request has not been answered completely.
    bool is_waiting = false;
    /// Whether each fragment of the answer has arrived, and the count of those that have.
    std::vector<bool> received_fragments;
    std::size_t received_fragment_count = 0;
    /// Expires at the next retransmission or the next request.
    std::unique_ptr<boost::asio::steady_timer> timer;
};

/// Generates the load, and stops its io_context when the last flow has ended.
class caller
{
public:
    /// Binds the local address and starts to open flows. Throws if the address cannot be
    /// bound.
    caller(boost::asio::io_context& context, const caller_options& options);

    /// Returns the report that the program prints.
    boost::json::object report();

private:
    /// Opens the flows that are due and sets a timer for the next one.
    void open_due_flows();
    void open_flow();
    void handle_opening_answer(caller_flow& flow, flow_token token);
    void start_request(caller_flow& flow);

    /// Sends the current request, or the opening if the flow is not open, and sets the
    /// timer of its retransmission.
    void send_request(caller_flow& flow);
    void resend_or_give_up(caller_flow& flow);

    /// Closes a flow whose opening or request failed. The flow counts as broken if an
    /// earlier request of it was answered.
    void fail_flow(const caller_flow& flow);
    void close_flow(const caller_flow& flow);
    void stop_when_done();
    void send(const caller_flow& flow, packet_kind kind,
              std::chrono::microseconds deadline);

    /// Calls \p callback with the flow after \p delay, unless the flow has been closed or
    /// has set its timer again.
    template <class Callback>
    void call_after(const caller_flow& flow, duration delay, Callback callback);
    void receive(const decoded_packet& packet);
    void handle_refusal(caller_flow& flow, const packet_header& header);
    void handle_fragment(caller_flow& flow, const decoded_packet& packet);

    /// Returns the name of the target that sent the fragment, or an empty string if the
    /// payload does not match the ids in the header.
    std::string answering_target(const decoded_packet& packet) const;
    void finish_request(caller_flow& flow);

    /// Returns the latency in microseconds at the percentile \p fraction, from 0 to 1, or
    /// 0 if no request was answered. Sorts the latencies.
    std::int64_t percentile(double fraction);
    boost::json::object refusals_by_reason() const;

    boost::asio::io_context& context_;
    caller_options options_;
    std::mt19937_64 random_;
    packet_socket socket_;
    boost::asio::steady_timer open_timer_;
    std::string payload_;
    time_point arrivals_end_at_;
    time_point next_open_at_;
    bool has_opened_all_flows_ = false;
    caller_counts counts_;
    std::unordered_map<flow_id, caller_flow> flows_;
    /// From the first transmission of each answered request to its last fragment, in
    /// microseconds.
    std::vector<std::int64_t> latencies_;
    std::map<std::string, std::uint64_t> answers_by_target_;
    std::map<refusal_reason, std::uint64_t> refusals_;
};

} // namespace kumquatpath::fakes

#endif
