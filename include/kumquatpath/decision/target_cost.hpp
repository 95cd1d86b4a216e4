#ifndef KUMQUATPATH_DECISION_TARGET_COST_HPP
#define KUMQUATPATH_DECISION_TARGET_COST_HPP

/// \file
/// What it costs to place a flow on a target, by the target's load, speed and place, and
/// how many flows a target may hold.

#include <kumquatpath/decision/target_selector_state.hpp>

namespace kumquatpath
{

/// Returns the estimate of a target of \p service with \p stats. The weight of the target
/// is in proportion to its speed if all slots of the service are in use, and prefers fast
/// targets the more slots are free.
target_estimate estimate_of(const target_stats& stats, const service_stats& service,
                            const selection_options& options, time_point now);

/// Returns the expected wait of a flow at \p target, in multiples of a response time.
/// \p warm_up is the policy of the service, or null.
double cost_of(const target_selector& selector, const known_target& target,
               const target_stats& stats, const warm_up_policy* warm_up, time_point now);

/// Returns the inverse of the weight of \p target in a random choice by speed. It is the
/// mean of an exponentially distributed number; the target with the lowest number is
/// chosen. It rises with the flows of this instance there. \p warm_up is the policy of
/// the service, or null.
double mean_draw_of(const known_target& target, const target_stats& stats,
                    const warm_up_policy* warm_up, time_point now);

/// Returns the number of flows that this instance may have in flight at \p target with
/// \p speed; at least 1.
std::uint32_t max_flows_at(const known_target& target, double speed);

} // namespace kumquatpath

#endif
