#ifndef KUMQUATPATH_DECISION_ADDRESS_CLAIMS_HPP
#define KUMQUATPATH_DECISION_ADDRESS_CLAIMS_HPP

/// \file
/// Which targets of a directory have ended because another one has their address.
///
/// An address gets its next target only after the previous one has ended. So of the
/// targets at an address, an announced one shows that all earlier ones have ended. Later
/// is the one that started later or, if that is not known of both, the one that was
/// announced later. An announcement proves this only if the configuration names its
/// service: any other may come from anyone. With each change of a target, this is derived
/// anew from all entries at its address, so it ends with the entry that it rests on.
/// Nothing is derived unless addresses are exclusive.

#include <kumquatpath/decision/target_directory.hpp>

namespace kumquatpath
{

/// Returns whether the configuration in force names the service of \p target.
bool has_named_service(const target_directory& directory, const known_target& target);

/// Returns how many announced targets have a service that the configuration in force does
/// not name.
std::size_t count_targets_of_unnamed_services(const target_directory& directory);

/// Registers the address of the target at \p index.
void claim_address(target_directory& directory, target_index index);

/// Decides anew which of the targets at the address of the one at \p index have ended.
void review_address(target_directory& directory, target_index index);

/// Releases the address of the target at \p index.
void release_address(target_directory& directory, target_index index);

/// Decides anew for all addresses, after the named services have changed.
void review_all_addresses(target_directory& directory);

} // namespace kumquatpath

#endif
