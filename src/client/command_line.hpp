#ifndef KUMQUATPATH_CLIENT_COMMAND_LINE_HPP
#define KUMQUATPATH_CLIENT_COMMAND_LINE_HPP

/// \file
/// Reading of the client's command line.

#include <kumquatpath/model/ids.hpp>

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Everything that the client can be asked to do. Commands change the configuration;
/// queries don't.
enum class verb : std::uint8_t
{
    // Commands.
    apply,
    drain,
    undrain,
    rollback,
    // Queries.
    check,
    show,
    diff,
    history,
    status,
    metrics,
};

/// The kinds of objects that can be drained.
enum class drainable_kind : std::uint8_t
{
    target,
    instance,
    data_centre,
};

/// What the command line asks for.
struct command_options
{
    kumquatpath::verb verb = verb::check;
    /// The platform's address, "ip:port"; from --platform or KUMQUATPATH_PLATFORM.
    std::string platform;
    bool json = false;
    /// A document's file name; "-" is the standard input.
    std::string file;
    drainable_kind kind = drainable_kind::target;
    std::vector<std::string> names;
    std::string author;
    /// The generation that a rollback or a query asks for.
    std::optional<kumquatpath::generation> generation;
    /// The generation that a file was edited from.
    std::optional<kumquatpath::generation> base;
    /// Whether the change may take a target away that open flows may rest on.
    bool may_cut_flows = false;
    bool wait = false;
    /// How long --wait lasts.
    std::chrono::seconds timeout{60};
    /// Operators' addresses of instances to ask; their peers are asked too.
    std::vector<std::string> instances;
    /// How many generations the history shows.
    std::uint64_t last = 20;
};

/// The failure of read_command_line(): the command line is not understood.
struct usage_error
{
    /// The argument that is wrong, or empty.
    std::string argument;
    std::string reason;
};

/// The answer to a command line that asks for help.
struct help_request
{
    /// The verb that help is wanted for; none: for all.
    std::optional<kumquatpath::verb> verb;
};

/// The settings that the environment gives.
struct command_environment
{
    std::string platform;
    std::string instance;
    std::string user;
};

/// Reads the arguments that follow the program's name. Fails with usage_error or
/// help_request.
boost::leaf::result<command_options>
read_command_line(const std::vector<std::string>& arguments,
                  const command_environment& environment);

/// Returns the help for \p topic, or the overview for none.
std::string help_text(const std::optional<verb>& topic);

} // namespace kumquatpath

#endif
