/// \file
/// kumquatpathd: one entry instance of the load balancer.
///
/// Exit codes: 0 after a graceful stop, 1 if a port cannot be bound, 2 if the settings
/// are invalid.

#include "daemon.hpp"

#include <kumquatpath/build_id.hpp>
#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/edge/native_packet_format.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <platform/packet_header.hpp>
#include <platform/store_client.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

constexpr int exit_port_not_bound = 1;
constexpr int exit_invalid_settings = 2;
/// How long the process waits at its end for its last lines to be written.
constexpr std::chrono::milliseconds max_log_wait{500};
constexpr const char* settings_file_variable = "KUMQUATPATH_NODE_FILE";

/// Returns the path of the settings file: the argument, or else the environment variable.
std::string settings_path(int argc, char** argv)
{
    TCLAP::CmdLine command(
        "kumquatpathd: one entry instance of the kumquatpath load "
        "balancer. SIGTERM stops it gracefully; SIGHUP reloads the "
        "settings, of which only the seeds take effect without a restart.",
        ' ', "0.1, build " + std::string(build_id));
    const char* const environment_path = std::getenv(settings_file_variable);
    TCLAP::UnlabeledValueArg<std::string> file(
        "settings",
        "The JSON file with the instance's settings; if omitted, the environment "
        "variable KUMQUATPATH_NODE_FILE gives its path",
        false, environment_path == nullptr ? "" : environment_path, "FILE", command);
    command.parse(argc, argv);
    return file.getValue();
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the settings, or prints the error in them and returns nothing.
std::optional<daemon_settings> load_settings(const std::string& path)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<daemon_settings>>
        {
            BOOST_LEAF_AUTO(settings, read_settings(read_file(path)));
            return std::optional(std::move(settings));
        },
        [&](const settings_fault& fault)
        {
            std::cerr << path << ": at \"" << fault.key << "\": expected "
                      << fault.expected << "\n";
            return std::optional<daemon_settings>();
        },
        []
        {
            std::cerr << "unexpected error while reading the settings file\n";
            return std::optional<daemon_settings>();
        });
}

/// Blocks the daemon's signals until daemon::run() unblocks them. Otherwise a signal that
/// arrives during startup would end the process.
void block_signals()
{
    const sigset_t blocked = daemon_signals();
    pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
}

/// Makes a write to a closed pipe fail instead of ending the process, so that the
/// instance goes on serving when the reader of its standard output has ended.
void ignore_closed_pipes()
{
    std::signal(SIGPIPE, SIG_IGN);
}

std::unique_ptr<packet_format> make_packet_format(const daemon_settings& settings)
{
    if (settings.interface == served_interface::native)
    {
        return std::make_unique<native_packet_format>();
    }
    return std::make_unique<platform::platform_packet_format>(settings.data.port);
}

void run_daemon(const daemon_settings& settings, const std::string& path)
{
    log_writer logs(settings.name);
    const auto packets = make_packet_format(settings);
    const auto origin = settings.interface == served_interface::native
                            ? platform::configuration_origin::native
                            : platform::configuration_origin::platform;
    platform::store_client state(settings.state, origin);
    daemon instance(settings, path,
                    {.packets = *packets,
                     .state = state,
                     .parse_configuration = platform::configuration_parser_for(origin)});
    log(log_level::info, "started",
        {{"data_centre", settings.data_centre}, {"build", build_id}});
    instance.run();
    log(log_level::info, "stopped");
    if (!logs.close(max_log_wait))
    {
        std::quick_exit(EXIT_SUCCESS);
    }
}

} // namespace
} // namespace kumquatpath

int main(int argc, char** argv)
{
    using namespace kumquatpath;
    block_signals();
    ignore_closed_pipes();
    const std::string path = settings_path(argc, argv);
    const auto settings = load_settings(path);
    if (!settings)
    {
        return exit_invalid_settings;
    }
    try
    {
        run_daemon(*settings, path);
    }
    catch (const boost::system::system_error& failure)
    {
        std::cerr << "kumquatpathd: " << failure.what() << "\n";
        return exit_port_not_bound;
    }
    return 0;
}
