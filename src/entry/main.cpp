/// \file
/// kumquatpath-entryd: one entry instance of the load balancer on the users' platform.
///
/// Exit codes: 0 after a graceful stop, 1 when a port cannot be bound, 2 on wrong
/// settings.

#include "entry_daemon.hpp"

#include <kumquatpath/edge/log.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <platform/packet_header.hpp>
#include <platform/state_records.hpp>
#include <platform/store_client.hpp>
#include <tclap/CmdLine.h>

#include <cstdlib>
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
constexpr const char* settings_variable = "KUMQUATPATH_NODE_FILE";

/// Returns the path of the settings file: the argument, else the environment's.
std::string settings_path(int argc, char** argv)
{
    TCLAP::CmdLine command(
        "kumquatpath-entryd: one entry instance of the kumquatpath load "
        "balancer. SIGTERM stops it gracefully, SIGHUP has it read its "
        "settings again.",
        ' ', "0.1");
    const char* const told = std::getenv(settings_variable);
    TCLAP::UnlabeledValueArg<std::string> file(
        "settings",
        "The instance's settings, a JSON file; without it, the file that the variable "
        "KUMQUATPATH_NODE_FILE names",
        false, told == nullptr ? "" : told, "FILE", command);
    command.parse(argc, argv);
    return file.getValue();
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the settings, or prints what is wrong with them and returns nothing.
std::optional<entry_settings> load_settings(const std::string& path)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<entry_settings>>
        {
            BOOST_LEAF_AUTO(settings, read_entry_settings(read_file(path)));
            return std::optional(std::move(settings));
        },
        [&](const entry_settings_fault& fault)
        {
            std::cerr << path << ": at \"" << fault.key << "\": expected "
                      << fault.expected << "\n";
            return std::optional<entry_settings>();
        },
        []
        {
            std::cerr << "the settings cannot be read\n";
            return std::optional<entry_settings>();
        });
}

void serve(const entry_settings& settings, const std::string& path)
{
    const log_writer logs(settings.name);
    const platform::platform_packet_format packets(settings.data.port);
    platform::store_client state(settings.state);
    entry_daemon running(settings, path,
                         {.packets = packets,
                          .state = state,
                          .read_configuration = platform::read_operator_configuration});
    log(log_level::info, "started", {{"data_centre", settings.data_centre}});
    running.run();
    log(log_level::info, "stopped");
}

} // namespace
} // namespace kumquatpath

int main(int argc, char** argv)
{
    using namespace kumquatpath;
    const std::string path = settings_path(argc, argv);
    const auto settings = load_settings(path);
    if (!settings)
    {
        return exit_wrong_settings;
    }
    try
    {
        serve(*settings, path);
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "kumquatpath-entryd: " << failure.what() << "\n";
        return exit_port_not_bound;
    }
    return 0;
}
