/// \file
/// kumquatpathd: one entry instance of the load balancer.
///
/// Exit codes: 0 after a graceful stop, 1 when a port cannot be bound, 2 on wrong
/// settings.

#include "daemon.hpp"

#include <kumquatpath/edge/log.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

constexpr int exit_port_not_bound = 1;
constexpr int exit_wrong_settings = 2;

/// What the command line says.
struct command_line
{
    std::string settings_file;
    std::string platform;
};

command_line read_command_line(int argc, char** argv)
{
    TCLAP::CmdLine command("kumquatpathd: one entry instance of the kumquatpath load "
                           "balancer. SIGTERM stops it gracefully.",
                           ' ', "0.1");
    TCLAP::UnlabeledValueArg<std::string> file(
        "settings", "The instance's settings, a JSON file; see docs/SETTINGS.md", true,
        "", "FILE", command);
    TCLAP::ValueArg<std::string> platform(
        "", "platform", "The platform's address, instead of that in the file", false, "",
        "A.B.C.D:PORT", command);
    command.parse(argc, argv);
    return {.settings_file = file.getValue(), .platform = platform.getValue()};
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the settings, or prints what is wrong with them and returns nothing.
std::optional<daemon_settings> load_settings(const command_line& command)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<daemon_settings>>
        {
            BOOST_LEAF_AUTO(settings, read_settings(read_file(command.settings_file)));
            if (!command.platform.empty())
            {
                BOOST_LEAF_ASSIGN(settings.platform, parse_endpoint(command.platform));
            }
            return std::optional(std::move(settings));
        },
        [&](const settings_fault& fault)
        {
            std::cerr << command.settings_file << ": at \"" << fault.pointer
                      << "\": expected " << fault.expected << "\n";
            return std::optional<daemon_settings>();
        },
        [&](const malformed_endpoint& fault)
        {
            std::cerr << "--platform: \"" << fault.text << "\" is not a.b.c.d:port\n";
            return std::optional<daemon_settings>();
        },
        []
        {
            std::cerr << "the settings cannot be read\n";
            return std::optional<daemon_settings>();
        });
}

void serve(const daemon_settings& settings)
{
    const log_writer logs(settings.name);
    daemon running(settings);
    log(log_level::info, "started", {{"data_centre", settings.data_centre}});
    running.run();
    log(log_level::info, "stopped");
}

} // namespace
} // namespace kumquatpath

int main(int argc, char** argv)
{
    using namespace kumquatpath;
    const auto settings = load_settings(read_command_line(argc, argv));
    if (!settings)
    {
        return exit_wrong_settings;
    }
    try
    {
        serve(*settings);
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "kumquatpathd: " << failure.what() << "\n";
        return exit_port_not_bound;
    }
    return 0;
}
