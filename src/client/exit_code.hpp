#ifndef KUMQUATPATH_CLIENT_EXIT_CODE_HPP
#define KUMQUATPATH_CLIENT_EXIT_CODE_HPP

/// \file
/// Exit codes of the client. The help and docs/OPERATIONS.md list them.

namespace kumquatpath
{

/// Exit status of the client process.
enum class exit_code
{
    success = 0,
    /// The document has faults, the request was refused, or `status` found an instance
    /// that is behind or unreachable.
    refused = 1,
    /// The command line is invalid, or a file that it names cannot be read.
    usage = 2,
    /// The platform could not be reached or gave no valid response. Nothing was changed.
    /// From `check --compare`: the document could not be compared.
    platform_unavailable = 3,
    /// Another operator changed the same objects, or concurrent submissions prevented
    /// every attempt to publish.
    conflict = 4,
    /// The response to the write was lost, and the client could not find out whether the
    /// edit was published.
    outcome_unknown = 5,
    /// The edit was published, but --wait timed out before every reachable instance had
    /// it in force.
    not_in_force = 6,
    /// `check --strict` found warnings in a document without faults.
    warnings = 7,
    /// The generation is in force on instances, but the store came back from an older
    /// copy without it. From `status` and --wait.
    not_stored = 8,
};

} // namespace kumquatpath

#endif
