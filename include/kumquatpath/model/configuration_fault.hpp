#ifndef KUMQUATPATH_MODEL_CONFIGURATION_FAULT_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_FAULT_HPP

/// \file
/// The faults that the check of a configuration document reports.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The kind of a fault.
enum class configuration_fault_kind : std::uint8_t
{
    /// The text is not valid JSON; configuration_fault::offset is where parsing stopped.
    syntax,
    /// The text, the document or the stored value that contains it exceeds its size
    /// limit.
    too_large,
    /// A JSON object contains the same key more than once.
    duplicate_key,
    unknown_key,
    missing_key,
    wrong_type,
    out_of_range,
    /// A string that is not one of the words that its key accepts.
    unknown_word,
    malformed_address,
    /// A name that is empty, too long, or contains characters other than
    /// a-z A-Z 0-9 . _ -
    malformed_name,
    /// A name that refers to an object which does not exist.
    unknown_reference,
    /// Two listeners or targets with the same address.
    duplicate_address,
    /// Two tenants or two classes with the same "id".
    duplicate_id,
    /// Two targets with the same name, in different pools.
    duplicate_name,
    /// Two different names of objects of one kind that hash to the same id.
    name_collision,
    empty_pool,
    /// A service whose pool has targets, but none that accepts new flows.
    no_active_target,
};

/// One fault in a document, with its location and the details for its messages.
struct configuration_fault
{
    configuration_fault_kind kind = configuration_fault_kind::syntax;
    /// The location in the document, as a JSON pointer (RFC 6901).
    std::string pointer;
    /// The key, name or value at fault; for wrong_type the actual type, for too_large
    /// the actual size in bytes, for syntax the parser's message.
    std::string name;
    /// What is needed to correct the fault, depending on its kind: the most similar known
    /// name, the expected type or words, the object that conflicts, or the service's pool
    /// without active targets. Empty if there is nothing to suggest.
    std::string expected;
    /// The byte offset at which parsing stopped; for syntax only.
    std::size_t offset = 0;
    /// The inclusive bounds of a number, for out_of_range. For too_large and
    /// malformed_name, maximum is the limit in bytes or characters.
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
};

/// Faults in the order in which the check found them.
using fault_list = std::vector<configuration_fault>;

/// The failure of a check, with all faults that were found.
struct configuration_faults
{
    fault_list faults;
};

/// Returns the name of \p kind as it appears in JSON output.
std::string_view to_string(configuration_fault_kind kind) noexcept;

/// Returns a sentence that describes \p fault.
std::string description(const configuration_fault& fault);

/// Returns a sentence that suggests how to correct \p fault.
std::string remedy(const configuration_fault& fault);

} // namespace kumquatpath

#endif
