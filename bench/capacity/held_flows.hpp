#ifndef KUMQUATPATH_BENCH_CAPACITY_HELD_FLOWS_HPP
#define KUMQUATPATH_BENCH_CAPACITY_HELD_FLOWS_HPP

/// \file
/// Flows that a router holds, and a chain of memory reads to compare them with.

#include <kumquatpath/decision/flow_router.hpp>

#include <cstdint>
#include <random>
#include <vector>

namespace kumquatpath::bench
{

/// A random cycle through memory: each place holds the next one.
class read_chain
{
public:
    /// Makes a cycle through \p bytes of memory.
    read_chain(std::size_t bytes, std::mt19937_64& random);

    /// Reads the next place; it waits for the read before.
    void step()
    {
        at_ = lines_[at_].next;
    }

    /// Returns the place that was read last.
    std::uint32_t at() const
    {
        return at_;
    }

private:
    static constexpr std::size_t line_bytes = 64;

    struct alignas(line_bytes) line
    {
        std::uint32_t next = 0;
    };

    std::vector<line> lines_;
    std::uint32_t at_ = 0;
};

/// A router that holds flows, and their ids in an order that memory can't foresee.
struct held_flows
{
    flow_router router;
    std::vector<flow_id> order;
    std::size_t next = 0;
    /// Always 0, yet the next look-up has to wait for it.
    std::uint64_t link = 0;
    action_list actions;
    time_point now{std::chrono::seconds(10)};
};

/// Returns a router that holds \p count flows of one service among 490, in a table that
/// is full with them.
held_flows make_held_flows(std::size_t count, std::mt19937_64& random);

/// Looks up the next flow; it waits for the look-up before.
void look_up_next(held_flows& held, service_id service);

/// Decides a packet of the next flow; it waits for the decision before.
void decide_next(held_flows& held, packet_header& header);

/// Returns the header of a packet of the service whose flows are held.
packet_header sample_header();

} // namespace kumquatpath::bench

#endif
