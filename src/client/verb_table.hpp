#ifndef KUMQUATPATH_CLIENT_VERB_TABLE_HPP
#define KUMQUATPATH_CLIENT_VERB_TABLE_HPP

/// \file
/// The table of the client's commands and queries: their words, arguments and help.

#include "client/command_line.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace kumquatpath
{

/// The arguments that a verb may take beside the common ones; they combine as bits.
enum class argument : std::uint32_t
{
    file = 1U << 0U,
    object = 1U << 1U,
    required_generation = 1U << 2U,
    optional_generation = 1U << 3U,
    base = 1U << 4U,
    wait = 1U << 5U,
    author = 1U << 6U,
    last = 1U << 7U,
    cut_flows = 1U << 8U,
    instances = 1U << 9U,
};

/// One line of the table.
struct verb_entry
{
    kumquatpath::verb verb;
    std::string_view name;
    bool is_command = false;
    std::uint32_t arguments = 0;
    std::string_view synopsis;
    std::string_view summary;
    std::string_view help;

    /// Returns whether the verb takes \p which.
    constexpr bool takes(argument which) const
    {
        return (arguments & static_cast<std::uint32_t>(which)) != 0;
    }
};

/// Returns every verb, commands first.
std::span<const verb_entry> verb_entries();

/// Returns whether \p value changes the configuration.
bool is_command(verb value);

/// Returns the entry for \p name, or null.
const verb_entry* find_verb_entry(std::string_view name);

} // namespace kumquatpath

#endif
