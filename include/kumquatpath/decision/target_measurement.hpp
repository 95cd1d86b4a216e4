#ifndef KUMQUATPATH_DECISION_TARGET_MEASUREMENT_HPP
#define KUMQUATPATH_DECISION_TARGET_MEASUREMENT_HPP

/// \file
/// Measures targets by the packets of their callers.
///
/// An instance sees only the packets of callers, which is enough to measure a target. An
/// opening that the target answers is followed by the caller's next packet within a round
/// trip, and an answered request by another packet of the caller. Unanswered requests
/// count as the load of a target.

#include <kumquatpath/decision/target_selector_state.hpp>

namespace kumquatpath
{

/// No opening may stay unanswered for longer before it is overdue.
inline constexpr duration max_opening_timeout = std::chrono::milliseconds(180);

// Queries.

/// Returns how long an opening may stay unanswered before it is overdue.
duration opening_timeout(const target_selector& selector);

// Commands.

/// Returns the measurements of the target at \p index. They are reset if the index now
/// belongs to another target; a new incarnation of the target resets its health and
/// speed.
target_stats& stats_of(target_selector& selector, const target_directory& directory,
                       target_index index);

/// Records that the target at \p index has answered an opening that was sent at \p sent.
void record_opening_answered(target_selector& selector, const target_directory& directory,
                             target_index index, time_point sent, time_point now);

/// Records that an opening sent to the target at \p index at \p sent is overdue.
void record_opening_overdue(target_selector& selector, const target_directory& directory,
                            target_index index, time_point sent);

/// Records that the target at \p index took \p time for a request with the latency goal
/// \p goal.
void record_request_answered(target_selector& selector, const target_directory& directory,
                             target_index index, duration time, duration goal,
                             time_point now);

} // namespace kumquatpath

#endif
