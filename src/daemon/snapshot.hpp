#ifndef KUMQUATPATH_DAEMON_SNAPSHOT_HPP
#define KUMQUATPATH_DAEMON_SNAPSHOT_HPP

/// \file
/// What the packet duty lets operators see: a copy made a few times a second.

#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpath
{

/// One histogram, with the names of what it counts.
struct histogram_copy
{
    std::string service;
    std::string tenant;
    std::string traffic_class;
    /// Upper bounds of the bins in microseconds, ascending; the last bin has none.
    std::vector<double> bounds;
    std::vector<std::uint64_t> counts;
};

/// One drain that is going on, and what it still waits for.
struct drain_status
{
    std::string kind;
    std::string name;
    std::string waits_for;
};

/// One member, for operators.
struct member_status
{
    std::string instance;
    member_state state = member_state::alive;
};

/// What one instance tells its operators.
struct instance_snapshot
{
    std::string instance;
    std::string data_centre;
    generation in_force;
    generation switched;
    bool is_leaving = false;
    /// Whether the instance may claim submissions that may not be repeated.
    bool may_claim = false;
    std::vector<member_status> members;
    std::vector<drain_status> drains;
    std::vector<histogram_copy> histograms;
    std::vector<std::pair<std::string, std::uint64_t>> counters;
};

/// A snapshot that several threads may hold.
using shared_snapshot = std::shared_ptr<const instance_snapshot>;

} // namespace kumquatpath

#endif
