#ifndef KUMQUATPATH_EDGE_TRAFFIC_COUNTER_HPP
#define KUMQUATPATH_EDGE_TRAFFIC_COUNTER_HPP

/// \file
/// Counts the bytes that a kind of connection carries.

#include <atomic>
#include <cstdint>

namespace kumquatpath
{

/// Bytes of application data, without the headers of TCP, UDP and IP, since the start.
struct traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// The traffic so far. One thread counts; any thread may read.
class traffic_counter
{
public:
    void count_sent(std::uint64_t bytes) noexcept
    {
        sent_.fetch_add(bytes, std::memory_order_relaxed);
    }

    void count_received(std::uint64_t bytes) noexcept
    {
        received_.fetch_add(bytes, std::memory_order_relaxed);
    }

    traffic total() const noexcept
    {
        return {.sent = sent_.load(std::memory_order_relaxed),
                .received = received_.load(std::memory_order_relaxed)};
    }

private:
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> received_{0};
};

} // namespace kumquatpath

#endif
