#include "daemon.hpp"

#include <csignal>
#include <thread>

namespace kumquatpath
{
namespace
{

constexpr std::size_t inbox_capacity = 256;
constexpr std::chrono::milliseconds roster_timeout{1000};

std::uint32_t jitter_seed(const daemon_settings& settings)
{
    return static_cast<std::uint32_t>(hash_name(settings.name));
}

} // namespace

daemon::daemon(const daemon_settings& settings)
    : configuration_store_({.server = settings.platform}),
      roster_store_({.server = settings.platform, .timeout = roster_timeout}),
      packets_(settings, outputs()),
      from_platform_(packets_.context(), inbox_capacity,
                     [this](packet_message message) { take(std::move(message)); }),
      from_transfer_(packets_.context(), inbox_capacity,
                     [this](packet_message message) { take(std::move(message)); }),
      from_roster_(packets_.context(), inbox_capacity,
                   [this](packet_message message) { take(std::move(message)); }),
      platform_(
          configuration_store_,
          [this](packet_message message) { from_platform_.send(std::move(message)); },
          jitter_seed(settings)),
      transfers_(settings, [this](packet_message message)
                 { from_transfer_.send(std::move(message)); }),
      rosters_(roster_store_,
               [this](packet_message message) { from_roster_.send(std::move(message)); }),
      operators_(settings.operators), to_transfer_(transfers_.context(), inbox_capacity,
                                                   [this](const transfer_message& message)
                                                   { transfers_.handle(message); }),
      to_roster_(rosters_.context(), inbox_capacity,
                 [this](const roster_order& order) { rosters_.handle(order); }),
      to_operators_(operators_.context(), inbox_capacity,
                    [this](shared_snapshot snapshot)
                    { operators_.handle(std::move(snapshot)); }),
      signals_(packets_.context(), SIGTERM, SIGINT)
{
    wait_for_signal();
}

packet_duty_outputs daemon::outputs()
{
    // Nothing is sent before run(), by when every inbox exists.
    packet_duty_outputs to;
    to.transfer = [this](transfer_message message)
    {
        to_transfer_.send(std::move(message));
    };
    to.platform = [this](const platform_message& message)
    {
        platform_.handle(message);
    };
    to.roster = [this](roster_order order)
    {
        to_roster_.send(std::move(order));
    };
    to.operators = [this](shared_snapshot snapshot)
    {
        to_operators_.send(std::move(snapshot));
    };
    return to;
}

void daemon::take(packet_message message)
{
    packets_.handle(std::move(message));
}

void daemon::wait_for_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& failure, int)
        {
            if (!failure)
            {
                take(stop_requested{});
            }
        });
}

void daemon::run()
{
    std::thread transfer_thread([this] { transfers_.run(); });
    std::thread operator_thread([this] { operators_.run(); });
    std::thread roster_thread([this] { rosters_.run(); });
    std::thread platform_thread([this] { platform_.run(); });
    packets_.run();
    stop_duties();
    transfer_thread.join();
    operator_thread.join();
    roster_thread.join();
    platform_thread.join();
}

void daemon::stop_duties()
{
    transfers_.stop();
    operators_.stop();
    rosters_.stop();
    platform_.stop();
}

} // namespace kumquatpath
