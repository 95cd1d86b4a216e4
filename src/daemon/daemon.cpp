#include "daemon.hpp"

#include <kumquatpath/edge/log.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>

namespace kumquatpath
{
namespace
{

constexpr std::size_t inbox_capacity = 256;
/// How often the settings file is looked at.
constexpr std::chrono::seconds settings_interval{3};

/// Returns when \p file was last written; the epoch if that can't be told.
std::filesystem::file_time_type written_at(const std::string& file)
{
    std::error_code failure;
    const auto time = std::filesystem::last_write_time(file, failure);
    return failure ? std::filesystem::file_time_type() : time;
}

std::uint64_t random_incarnation()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

} // namespace

daemon::daemon(const daemon_settings& settings, std::string settings_file,
               const daemon_adapters& adapters)
    : settings_file_(std::move(settings_file)),
      packets_(settings, adapters.packets, random_incarnation(),
               {.read = [this](const reading_order& order) { states_.order(order); },
                .ask = [this](const ask_peer& order) { to_transfer_.send(order); },
                .set_ready =
                    [this](bool is_ready)
                {
                    https_.set_ready(is_ready);
                }}),
      from_state_(packets_.context(), inbox_capacity,
                  [this](packet_input message) { packets_.handle(std::move(message)); }),
      from_transfer_(packets_.context(), inbox_capacity,
                     [this](packet_input message)
                     { packets_.handle(std::move(message)); }),
      from_http_(packets_.context(), inbox_capacity,
                 [this](packet_input message) { packets_.handle(std::move(message)); }),
      states_(adapters.state, static_cast<std::uint32_t>(hash_name(settings.name)),
              [this](packet_input message) { from_state_.send(std::move(message)); }),
      transfers_({.local = settings.peer,
                  .key = settings.key,
                  .self = id_of<instance_id>(settings.name),
                  .read_configuration = adapters.read_configuration},
                 [this](packet_input message)
                 { from_transfer_.send(std::move(message)); }),
      https_({.ready = settings.ready,
              .ready_path = settings.ready_path,
              .metrics = settings.metrics},
             [this](packet_input message) { from_http_.send(std::move(message)); }),
      to_transfer_(transfers_.context(), inbox_capacity,
                   [this](const ask_peer& order) { transfers_.ask(order); }),
      signals_(packets_.context(), SIGTERM, SIGINT, SIGHUP),
      settings_timer_(packets_.context()), settings_written_(written_at(settings_file_))
{
    wait_for_signal();
    watch_settings();
}

void daemon::watch_settings()
{
    settings_timer_.expires_after(settings_interval);
    settings_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            if (written_at(settings_file_) != settings_written_)
            {
                reload();
            }
            watch_settings();
        });
}

void daemon::wait_for_signal()
{
    signals_.async_wait(
        [this](const boost::system::error_code& failure, int signal)
        {
            if (failure)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                reload();
            }
            else
            {
                packets_.handle(stop_was_asked{});
            }
            wait_for_signal();
        });
}

void daemon::reload()
{
    settings_written_ = written_at(settings_file_);
    std::ifstream file(settings_file_, std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(settings, read_settings(text));
            packets_.handle(settings_were_read{.seeds = std::move(settings.seeds)});
            return {};
        },
        [](const settings_fault& fault)
        {
            log(log_level::error, "reload_refused",
                {{"key", fault.key}, {"expected", fault.expected}});
        },
        [] { log(log_level::error, "reload_refused"); });
}

sigset_t daemon_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void daemon::run()
{
    std::thread transfer_thread([this] { transfers_.run(); });
    std::thread http_thread([this] { https_.run(); });
    std::thread state_thread([this] { states_.run(); });
    const sigset_t taken = daemon_signals();
    pthread_sigmask(SIG_UNBLOCK, &taken, nullptr);
    packets_.run();
    transfers_.stop();
    https_.stop();
    states_.stop();
    transfer_thread.join();
    http_thread.join();
    state_thread.join();
}

} // namespace kumquatpath
