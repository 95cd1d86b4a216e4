#ifndef KUMQUATPATH_DECISION_TARGET_SELECTOR_HPP
#define KUMQUATPATH_DECISION_TARGET_SELECTOR_HPP

/// \file
/// Selects the target of a new flow by the load and health of the targets.
///
/// The selection has three steps: which targets may be used and how healthy they are,
/// what a flow costs at each (target_cost.hpp), and the choice among them. A target that
/// leaves openings unanswered is avoided until it answers one; for that it gets trial
/// flows.
///
/// A flow whose request may not be repeated goes to a sound target while one has room:
/// one that is neither suspect nor failing, has been known for a while, and has given no
/// reason for doubt. Trial flows are left to requests that may be repeated, unless the
/// service has had none for a while.

#include <kumquatpath/decision/target_health.hpp>
#include <kumquatpath/decision/target_measurement.hpp>

namespace kumquatpath
{

/// Constraints on the target of a new flow.
struct selection_request
{
    service_id service;
    /// The flow can wait, so no target is selected that would not process it soon.
    bool may_wait = false;
    /// The request may run more than once, so the flow may test a target.
    bool is_repeatable = true;
    /// A target that did not answer this flow's opening and is the last choice; null:
    /// none.
    const target_index* avoided = nullptr;
    /// The warm-up policy of the service; null: none.
    const warm_up_policy* warm_up = nullptr;
    /// Uniformly distributed random bits that break ties.
    std::uint64_t random = 0;
};

/// Returns the target for a new flow, or null if no target takes new flows. Also returns
/// null while the only targets that do are in a warm-up whose limit allows no flow now
/// and, for a flow that may wait, while all healthy targets are full or the concurrency
/// limit is reached.
const target_index* select_target(target_selector& selector,
                                  const target_directory& directory,
                                  const selection_request& request, time_point now);

} // namespace kumquatpath

#endif
