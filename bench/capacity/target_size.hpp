#ifndef KUMQUATPATH_BENCH_CAPACITY_TARGET_SIZE_HPP
#define KUMQUATPATH_BENCH_CAPACITY_TARGET_SIZE_HPP

/// \file
/// The size that the design is made for, and the budgets of one instance.

namespace kumquatpath::bench
{

inline constexpr double instances = 570;
inline constexpr double targets = 5400;
inline constexpr double addresses = 490;
inline constexpr double open_flows = 8.3e6;
inline constexpr double new_flows_per_second = 54000;
inline constexpr double data_centres = 7;
inline constexpr double changes_per_day = 470;
inline constexpr double restarts_per_day = 1800;
inline constexpr double failures_per_day = 14;
inline constexpr double seconds_per_day = 86400;

/// What one instance may spend on control.
inline constexpr double core_budget = 0.022;
inline constexpr double memory_budget = 64e6;
inline constexpr double control_bytes_budget = 6000;

/// What the platform takes from the whole fleet.
inline constexpr double platform_reads_per_second = 2000;
inline constexpr double platform_writes_per_second = 400;
inline constexpr double largest_platform_bytes = 1e6;

/// What a datagram costs on the wire besides its payload: the headers of IPv4 and UDP.
inline constexpr double datagram_overhead = 28;

} // namespace kumquatpath::bench

#endif
