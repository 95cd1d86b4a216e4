/// \file
/// kumquatpathd: one entry instance of the load balancer.
///
/// Exit codes: 0 after a graceful stop, 1 when a port cannot be bound, 2 on wrong
/// settings.

#include "operator_duty.hpp"
#include "packet_duty.hpp"
#include "platform_duty.hpp"
#include "roster_duty.hpp"
#include "settings.hpp"
#include "transfer_duty.hpp"

#include <kumquatpath/edge/inbox.hpp>
#include <kumquatpath/edge/log.hpp>
#include <kumquatpath/edge/platform_client.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <thread>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

constexpr int exit_port_not_bound = 1;
constexpr int exit_wrong_settings = 2;
constexpr std::size_t inbox_capacity = 256;
constexpr std::chrono::milliseconds roster_timeout{1000};

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

/// Runs every duty on its own thread until a signal has stopped the packet duty.
void serve(const daemon_settings& settings)
{
    const log_writer logs(settings.name);
    platform_client store({.server = settings.platform});
    platform_client roster_store(
        {.server = settings.platform, .timeout = roster_timeout});

    std::unique_ptr<inbox<transfer_message>> to_transfer;
    std::unique_ptr<inbox<shared_snapshot>> to_operators;
    std::unique_ptr<inbox<roster_order>> to_roster;
    platform_duty* platform = nullptr;
    packet_duty_outputs outputs;
    outputs.transfer = [&](transfer_message message)
    {
        to_transfer->send(std::move(message));
    };
    outputs.platform = [&](platform_message message)
    {
        platform->handle(message);
    };
    outputs.roster = [&](roster_order order)
    {
        to_roster->send(std::move(order));
    };
    outputs.operators = [&](shared_snapshot snapshot)
    {
        to_operators->send(std::move(snapshot));
    };
    packet_duty packets(settings, std::move(outputs));

    // A ring has one producer, so each duty that tells the packet duty has its own.
    const auto take = [&](packet_message message)
    {
        packets.handle(std::move(message));
    };
    inbox<packet_message> from_platform(packets.context(), inbox_capacity, take);
    inbox<packet_message> from_transfer(packets.context(), inbox_capacity, take);
    inbox<packet_message> from_roster(packets.context(), inbox_capacity, take);

    transfer_duty transfers(settings, [&](packet_message message)
                            { from_transfer.send(std::move(message)); });
    operator_duty operators(settings.operators);
    roster_duty rosters(roster_store, [&](packet_message message)
                        { from_roster.send(std::move(message)); });
    to_roster = std::make_unique<inbox<roster_order>>(rosters.context(), inbox_capacity,
                                                      [&](const roster_order& order)
                                                      { rosters.handle(order); });
    const auto seed = static_cast<std::uint32_t>(hash_name(settings.name));
    platform_duty platform_reader(
        store, [&](packet_message message) { from_platform.send(std::move(message)); },
        seed);
    platform = &platform_reader;
    to_transfer = std::make_unique<inbox<transfer_message>>(
        transfers.context(), inbox_capacity,
        [&](const transfer_message& message) { transfers.handle(message); });
    to_operators = std::make_unique<inbox<shared_snapshot>>(
        operators.context(), inbox_capacity,
        [&](shared_snapshot snapshot) { operators.handle(std::move(snapshot)); });

    boost::asio::signal_set signals(packets.context(), SIGTERM, SIGINT);
    signals.async_wait(
        [&](const boost::system::error_code& failure, int)
        {
            if (!failure)
            {
                packets.handle(stop_requested{});
            }
        });

    log(log_level::info, "started", {{"data_centre", settings.data_centre}});
    std::thread transfer_thread([&] { transfers.run(); });
    std::thread operator_thread([&] { operators.run(); });
    std::thread roster_thread([&] { rosters.run(); });
    std::thread platform_thread([&] { platform_reader.run(); });
    packets.run();
    transfers.stop();
    operators.stop();
    rosters.stop();
    platform_reader.stop();
    transfer_thread.join();
    operator_thread.join();
    roster_thread.join();
    platform_thread.join();
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
