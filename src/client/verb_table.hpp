#ifndef KUMQUATPATH_CLIENT_VERB_TABLE_HPP
#define KUMQUATPATH_CLIENT_VERB_TABLE_HPP

/// \file
/// The table of the client's commands and queries: their names, arguments and help.

#include "client/command_line.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace kumquatpath
{

/// Arguments that a verb may take in addition to the common ones. The values are bits of
/// verb_entry::arguments.
enum class argument : std::uint32_t
{
    /// FILE.
    file = 1U << 0U,
    /// KIND NAME...
    object = 1U << 1U,
    /// GENERATION without an option.
    required_generation = 1U << 2U,
    /// --generation.
    optional_generation = 1U << 3U,
    base = 1U << 4U,
    /// --wait and --timeout.
    wait = 1U << 5U,
    author = 1U << 6U,
    last = 1U << 7U,
    cut_flows = 1U << 8U,
    instances = 1U << 9U,
    /// --strict and --compare.
    check_demands = 1U << 10U,
};

/// A verb and its description.
struct verb_entry
{
    kumquatpath::verb verb;
    /// The verb as written on the command line.
    std::string_view name;
    bool is_command = false;
    /// Bitwise or of argument values.
    std::uint32_t arguments = 0;
    std::string_view synopsis;
    /// One line for the overview.
    std::string_view summary;
    std::string_view help;

    /// Returns whether the verb takes \p which.
    constexpr bool takes(argument which) const
    {
        return (arguments & static_cast<std::uint32_t>(which)) != 0;
    }
};

/// Returns the entries of all verbs, commands first.
std::span<const verb_entry> verb_entries();

/// Returns whether \p value changes the configuration.
bool is_command(verb value);

/// Returns the entry of the verb called \p name, or null.
const verb_entry* find_verb_entry(std::string_view name);

} // namespace kumquatpath

#endif
