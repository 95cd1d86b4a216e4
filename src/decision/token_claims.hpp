#ifndef KUMQUATPATH_DECISION_TOKEN_CLAIMS_HPP
#define KUMQUATPATH_DECISION_TOKEN_CLAIMS_HPP

/// \file
/// Which of the targets with the same token is the one that the token stands for; the
/// others take no new flows.
///
/// Targets with different keys rarely have the same token; then the smaller key has it.
/// Entries under different ids may have the same key. They mean the same target, so the
/// token stands for one that announces it: that of the latest start and of the newest
/// announcement. All instances that know the same entries decide alike.

#include <kumquatpath/decision/target_directory.hpp>

namespace kumquatpath
{

/// Registers the token of the target at \p index, which was just added.
void claim_token(target_directory& directory, target_index index);

/// Decides anew whom the token of the target at \p index stands for, after a change of
/// that target.
void review_token(target_directory& directory, target_index index);

/// Releases the token of the target at \p index, which is about to be removed.
void release_token(target_directory& directory, target_index index);

} // namespace kumquatpath

#endif
