#ifndef KUMQUATPATH_DECISION_TARGET_REVIEW_HPP
#define KUMQUATPATH_DECISION_TARGET_REVIEW_HPP

/// \file
/// The regular review of all targets of a service.
///
/// A review finds the means of the service and the targets that are to be avoided. As it
/// takes time in proportion to the targets, it comes the less often the more there are;
/// see review_interval(). Suspect targets are not waited for: see is_suspect().

#include <kumquatpath/decision/target_selector_state.hpp>

namespace kumquatpath
{

/// Reviews the targets of \p service, \p candidates, if that is due. If most are failing
/// or unproven, or peers doubt more than a third, the cause is not in the targets alone
/// and none is avoided for it.
void review_service(target_selector& selector, const target_directory& directory,
                    service_stats& service, std::span<const target_index> candidates,
                    time_point now);

} // namespace kumquatpath

#endif
