#ifndef KUMQUATPATH_DECISION_TARGET_COST_HPP
#define KUMQUATPATH_DECISION_TARGET_COST_HPP

/// \file
/// What it costs to place a flow on a target, by the target's load, speed and place, and
/// how many flows a target may hold.

#include <kumquatpath/decision/target_stats.hpp>

namespace kumquatpath
{

/// Returns the expected wait of a flow at \p target, in multiples of a response time, for
/// a service whose targets take \p mean_response_time_ms; 0: unknown. \p warm_up is the
/// policy of the service, or null.
double cost_of(const target_selector& selector, const known_target& target,
               const target_stats& stats, double mean_response_time_ms,
               const warm_up_policy* warm_up, time_point now);

/// Returns the weight of \p target in a random choice by speed. It is in proportion to
/// \p speed if all slots of the service are in use (\p utilization is 1), and prefers
/// fast targets the more slots are free. It falls with the flows of this instance there.
/// \p warm_up is the policy of the service, or null.
double weight_of(const known_target& target, const target_stats& stats, double speed,
                 double utilization, const warm_up_policy* warm_up, time_point now);

/// Returns the number of flows that this instance may have in flight at \p target with
/// \p speed; at least 1.
std::uint32_t max_flows_at(const known_target& target, double speed);

} // namespace kumquatpath

#endif
