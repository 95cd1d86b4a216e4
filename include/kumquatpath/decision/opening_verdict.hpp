#ifndef KUMQUATPATH_DECISION_OPENING_VERDICT_HPP
#define KUMQUATPATH_DECISION_OPENING_VERDICT_HPP

/// \file
/// Decides about openings for which no target was selected, because the targets are full,
/// evacuated, in a warm-up with a limit, or gone.

#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// Returns the verdict on an opening of \p service for which no target was selected. The
/// opening waits only if a target without a limit takes new flows: the next permission of
/// a target that warms up is usually later than an opening may wait. \p warm_up is the
/// policy of the service or null.
steering_verdict verdict_without_target(const target_directory& directory,
                                        service_id service, const warm_up_policy* warm_up,
                                        time_point now);

/// Returns whether the target of \p flow has restarted since the flow was placed and now
/// has a limit, in which \p flow is not counted.
bool is_limited_since_placement(const routing_table& table,
                                const target_directory& directory,
                                const tracked_flow& flow, time_point now);

} // namespace kumquatpath

#endif
