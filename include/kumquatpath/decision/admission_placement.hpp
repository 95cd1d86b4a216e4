#ifndef KUMQUATPATH_DECISION_ADMISSION_PLACEMENT_HPP
#define KUMQUATPATH_DECISION_ADMISSION_PLACEMENT_HPP

/// \file
/// Which openings have to queue, and the placement of those that wait, in the order of
/// admission.

#include <kumquatpath/decision/admission_order.hpp>

namespace kumquatpath
{

/// An opening that no longer waits, and why: any verdict but wait.
struct steered_opening
{
    queued_opening opening;
    steering_decision decision;
};

// Queries.

/// Returns whether the opening \p packet has to queue, so that it does not overtake a
/// more urgent one: an opening waits for one of the services of its route, and its flow
/// is not placed yet.
bool is_behind_others(const opening_queue& queue, const flow_steering& steering,
                      const routing_table& table, const flow_packet& packet);

// Commands.

/// Steers the openings of \p queue in the order of admission, if a plan is due. A
/// listener whose opening has to wait on is left out from then on. Removes and returns
/// the others, in that order.
std::vector<steered_opening> take_admissible(admission_order& order, opening_queue& queue,
                                             flow_steering& steering,
                                             const routing_table& table,
                                             const target_directory& directory,
                                             time_point now);

} // namespace kumquatpath

#endif
