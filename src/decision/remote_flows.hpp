#ifndef KUMQUATPATH_DECISION_REMOTE_FLOWS_HPP
#define KUMQUATPATH_DECISION_REMOTE_FLOWS_HPP

/// \file
/// Tells remote_placement what becomes of flows. Does nothing unless
/// selection_options::measures_distance is set.

#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// Counts \p flow as load of the data centre of its target, or no longer, by
/// tracked_flow::is_in_flight, which has just changed.
void count_by_data_centre(flow_steering& steering, const target_directory& directory,
                          tracked_flow& flow);

/// Records that the target of \p flow has answered its opening.
void record_remote_opening(flow_steering& steering, const target_directory& directory,
                           const tracked_flow& flow, time_point now);

/// Records that the target of \p flow has answered its request, which has the latency
/// goal \p goal.
void record_remote_request(flow_steering& steering, const target_directory& directory,
                           const tracked_flow& flow, duration goal, time_point now);

/// Counts an opening that was placed on \p target, which select_target() has just
/// returned, if that is remote. Returns why it is; unset: it is local.
std::optional<remote_reason> count_remote_placement(flow_steering& steering,
                                                    const target_directory& directory,
                                                    target_index target);

} // namespace kumquatpath

#endif
