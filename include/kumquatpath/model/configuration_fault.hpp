#ifndef KUMQUATPATH_MODEL_CONFIGURATION_FAULT_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_FAULT_HPP

/// \file
/// What can be wrong with a configuration document, as typed values.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The kinds of faults that the check of a document tells apart.
enum class configuration_fault_kind : std::uint8_t
{
    /// The text is not JSON; offset is the byte at which reading stopped.
    syntax,
    /// The document, or the whole stored value, is over the platform's bound.
    too_large,
    /// One JSON object holds the same key twice.
    duplicate_key,
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range,
    /// A word that is not one of those which the key takes.
    unknown_word,
    malformed_address,
    /// A name that is empty, too long, or has characters outside of a-z A-Z 0-9 . _ -
    malformed_name,
    /// A name that refers to an object which does not exist.
    unknown_reference,
    /// Two listeners or targets on one address.
    duplicate_address,
    /// Two tenants or two classes with one number.
    duplicate_id,
    /// Two targets with one name, in different pools.
    duplicate_name,
    /// Two names of one kind whose derived ids are equal.
    name_collision,
    empty_pool,
    /// A service whose pool has no target that takes new flows.
    no_active_target,
};

/// One fault, with the place where it is and what would mend it.
struct configuration_fault
{
    configuration_fault_kind kind = configuration_fault_kind::syntax;
    /// The place in the document: a JSON pointer (RFC 6901).
    std::string pointer;
    /// The key, name or value that is wrong.
    std::string name;
    /// What the fault's kind needs to be mended: the nearest known name, the type or the
    /// words that are expected, or the other object that clashes. Empty: none is known.
    std::string expected;
    /// The byte at which reading stopped; for syntax only.
    std::size_t offset = 0;
    /// The bounds that a number or size must keep; for out_of_range and too_large.
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
};

/// Faults, those of the first section of a document first.
using fault_list = std::vector<configuration_fault>;

/// The failure of a check: every fault that was found.
struct configuration_faults
{
    fault_list faults;
};

/// Returns the name of \p kind, as JSON output prints it.
std::string_view to_string(configuration_fault_kind kind) noexcept;

/// Returns a sentence that says what is wrong.
std::string description(const configuration_fault& fault);

/// Returns a sentence that says what would mend \p fault.
std::string remedy(const configuration_fault& fault);

} // namespace kumquatpath

#endif
