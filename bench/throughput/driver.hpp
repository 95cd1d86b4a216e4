#ifndef KUMQUATPATH_BENCH_THROUGHPUT_DRIVER_HPP
#define KUMQUATPATH_BENCH_THROUGHPUT_DRIVER_HPP

/// \file
/// Callers and targets in one thread, around whatever forwards between them.

#include <kumquatpath/edge/packet_codec.hpp>
#include <kumquatpath/edge/udp_port.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <memory>
#include <vector>

namespace kumquatpath::bench
{

/// Who talks to whom.
struct driver_options
{
    /// Where requests are sent to.
    endpoint forwarder;
    endpoint caller;
    std::vector<endpoint> targets;
    service_id service;
    /// Requests that are unanswered at a time, each on a flow of its own.
    std::size_t window = 512;
    std::size_t payload_bytes = 200;
};

/// What came back to the callers.
struct driver_counts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t resent = 0;
};

/// Keeps a window of requests open and answers them as their targets. All packets are
/// encoded beforehand, so that the driver costs little more than its system calls.
class driver
{
public:
    /// Binds the callers' and the targets' ports. Throws when one can't be bound.
    explicit driver(const driver_options& options);

    /// Sends the whole window and goes on until \p end, by the steady clock.
    void run_until(std::chrono::steady_clock::time_point end);

    const driver_counts& counts() const;

private:
    using datagram = std::vector<std::byte>;

    datagram encoded(packet_kind kind, std::size_t index);
    void send(std::size_t index);
    void resend_silent(std::chrono::steady_clock::time_point now);
    std::size_t take_answers(std::chrono::steady_clock::time_point now);
    std::size_t answer_requests(udp_port& target);

    driver_options options_;
    boost::asio::io_context context_;
    udp_port caller_;
    std::vector<std::unique_ptr<udp_port>> targets_;
    flatbuffers::FlatBufferBuilder builder_;
    std::vector<datagram> requests_;
    std::vector<datagram> answers_;
    /// When each flow last sent its request.
    std::vector<std::chrono::steady_clock::time_point> sent_at_;
    driver_counts counts_;
};

} // namespace kumquatpath::bench

#endif
