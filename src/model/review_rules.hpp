#ifndef KUMQUATPATH_MODEL_REVIEW_RULES_HPP
#define KUMQUATPATH_MODEL_REVIEW_RULES_HPP

/// \file
/// The functions behind review_rules(); each finds the warnings of one kind.

#include <kumquatpath/model/configuration_review.hpp>

namespace kumquatpath::review
{

// Entries that have no effect; review_entries.cpp.

warning_list unused_data_centres(const configuration& config);
warning_list unused_pools(const configuration& config);
warning_list unused_services(const configuration& config);
warning_list shared_pools(const configuration& config);
warning_list instances_without_effect(const configuration& config);
warning_list unusable_addresses(const configuration& config);

// Numbers that have no effect or contradict each other; review_limits.cpp.

warning_list partial_slots(const configuration& config);
warning_list limits_without_effect(const configuration& config);
warning_list goals_above_deadlines(const configuration& config);
warning_list deadlines_below_goals(const configuration& config);
warning_list lifetimes_below_goals(const configuration& config);
warning_list lifetimes_below_deadlines(const configuration& config);
warning_list warm_up_limits_without_time(const configuration& config);
warning_list warm_up_limits_without_effect(const configuration& config);

} // namespace kumquatpath::review

#endif
