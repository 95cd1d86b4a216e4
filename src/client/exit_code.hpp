#ifndef KUMQUATPATH_CLIENT_EXIT_CODE_HPP
#define KUMQUATPATH_CLIENT_EXIT_CODE_HPP

/// \file
/// How the client ends; the help and docs/OPERATIONS.md list the codes.

namespace kumquatpath
{

/// The exit codes of the client.
enum class exit_code
{
    success = 0,
    /// The document has faults, or the request was refused.
    refused = 1,
    usage = 2,
    /// The platform was not reached, and nothing was changed.
    platform_unavailable = 3,
    /// Somebody else changed the same objects.
    conflict = 4,
    /// Whether the edit was published is not known.
    outcome_unknown = 5,
    /// The edit was published, but --wait ended before every instance that can be reached
    /// had it in force.
    not_in_force = 6,
};

} // namespace kumquatpath

#endif
