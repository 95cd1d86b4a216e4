#ifndef KUMQUATPATH_DECISION_TARGET_ANNOUNCEMENT_HPP
#define KUMQUATPATH_DECISION_TARGET_ANNOUNCEMENT_HPP

/// \file
/// How an announcement changes a target that is in the directory, and the steps that
/// other changes of a target share with it.

#include <kumquatpath/decision/target_directory.hpp>

namespace kumquatpath
{

/// Makes the record of \p change that of the target at \p index, which is announced by it
/// from now on.
void announce(target_directory& directory, target_index index,
              const target_change& change, time_point now);

/// Removes the target at \p index from those of \p service.
void remove_from_service(target_directory& directory, service_id service,
                         target_index index);

/// Decides anew, after a change of the target at \p index, which targets its token and
/// its address stand for.
void review_claims(target_directory& directory, target_index index);

} // namespace kumquatpath

#endif
