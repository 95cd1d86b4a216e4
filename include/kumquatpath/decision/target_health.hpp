#ifndef KUMQUATPATH_DECISION_TARGET_HEALTH_HPP
#define KUMQUATPATH_DECISION_TARGET_HEALTH_HPP

/// \file
/// What the measurements say about the health of a target or a data centre.

#include <kumquatpath/decision/target_selector_state.hpp>

namespace kumquatpath
{

/// Returns whether \p id is suspect because too many openings to its targets are overdue.
bool is_data_centre_suspect(const target_selector& selector, data_centre_id id);

/// Returns whether any data centre is suspect.
bool has_suspect_data_centre(const target_selector& selector);

/// Returns whether \p target is suspect because too many of its openings are overdue.
bool is_suspect(const target_stats& target);

/// Returns whether there is a reason to keep requests that may not be repeated away from
/// the target of \p stats, though it is healthy: it has not been known for long, its
/// newest opening is overdue, or it gave answers that were too quick. \p mean_quick_share
/// is that of its service.
bool is_unproven(const target_stats& stats, double mean_quick_share, time_point now);

/// Returns how many peers report a doubt about the target of \p stats, plus one if at
/// least one does and the target has an overdue opening here as well.
std::uint32_t reports_against(const target_stats& stats, time_point now);

} // namespace kumquatpath

#endif
