#ifndef KUMQUATPATH_DECISION_FLOW_TABLE_HPP
#define KUMQUATPATH_DECISION_FLOW_TABLE_HPP

/// \file
/// Changes of entries of the flow table that also update the targets' load and the checks
/// for overdue openings.

#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// Counts \p flow as load of its target, or no longer.
void set_in_flight(flow_steering& steering, const target_directory& directory,
                   tracked_flow& flow, bool is_in_flight);

/// Makes \p target the target of \p flow, from \p now.
void assign_target(flow_steering& steering, const target_directory& directory,
                   tracked_flow& flow, target_index target, time_point now);

/// Has review_flows() check whether the opening of \p flow, whose identity is \p id and
/// which was sent to its target now, becomes overdue.
void expect_answer(flow_steering& steering, const tracked_flow& flow, flow_id id,
                   time_point now);

/// Records that the unanswered flow \p id, if it is tracked, was opened through another
/// instance at \p target, where it stays.
void adopt_flow(flow_steering& steering, const target_directory& directory, flow_id id,
                target_index target, time_point now);

/// Places the unanswered opening of \p flow, whose identity is \p id, on another target.
void place_again(flow_steering& steering, const target_directory& directory, flow_id id,
                 tracked_flow& flow, target_index target, time_point now);

} // namespace kumquatpath

#endif
