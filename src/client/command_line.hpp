#ifndef KUMQUATPATH_CLIENT_COMMAND_LINE_HPP
#define KUMQUATPATH_CLIENT_COMMAND_LINE_HPP

/// \file
/// Parsing of the client's command line.

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

/// The verbs of the command line. Commands change the configuration; queries only read.
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

/// The kinds of objects that can be drained and undrained.
enum class drainable_kind : std::uint8_t
{
    target,
    instance,
    data_centre,
};

/// The parsed command line, completed with defaults from the environment.
struct command_options
{
    kumquatpath::verb verb = verb::check;
    /// The platform's address as "ip:port", from --platform or KUMQUATPATH_PLATFORM;
    /// empty if neither is set.
    std::string platform;
    bool json = false;
    /// Name of the file that holds the document; "-" means standard input.
    std::string file;
    drainable_kind kind = drainable_kind::target;
    std::vector<std::string> names;
    std::string author;
    /// The generation to roll back to or to show.
    std::optional<kumquatpath::generation> generation;
    /// The generation that the file was edited from, as given by --base.
    std::optional<kumquatpath::generation> base;
    /// Whether the change may remove or move targets that may still have open flows.
    bool may_cut_flows = false;
    bool wait = false;
    /// Time limit of --wait.
    std::chrono::seconds timeout{60};
    /// Addresses, as "ip:port", at which instances serve their status and metrics. The
    /// client also queries the peers that these instances report.
    std::vector<std::string> instances;
    /// Whether warnings make a check fail.
    bool strict = false;
    /// Whether a check fails if the document cannot be compared.
    bool compare = false;
    /// Number of generations that the history lists.
    std::uint64_t last = 20;
};

/// A failure: the command line is invalid.
struct usage_error
{
    /// The invalid argument; empty if the failure is not about one argument.
    std::string argument;
    std::string reason;
};

/// Returned by read_command_line() as a failure if the command line asks for help.
struct help_request
{
    /// The verb to describe; nothing for the overview of all verbs.
    std::optional<kumquatpath::verb> verb;
};

/// Defaults for options, taken from environment variables.
struct command_environment
{
    /// Default of --platform.
    std::string platform;
    /// Default of --instance.
    std::string instance;
    /// Default of --author.
    std::string user;
};

/// Parses \p arguments, which exclude the program's name. Options take precedence over
/// \p environment. Fails with usage_error or help_request.
boost::leaf::result<command_options>
read_command_line(const std::vector<std::string>& arguments,
                  const command_environment& environment);

/// Returns the help for \p topic, or the overview of all verbs if \p topic is empty.
std::string help_text(const std::optional<verb>& topic);

} // namespace kumquatpath

#endif
