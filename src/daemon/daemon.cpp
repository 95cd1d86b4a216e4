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

constexpr std::size_t queue_capacity = 256;
/// How often the settings file is checked for changes.
constexpr std::chrono::seconds settings_check_interval{3};

/// Returns the time of the last write to \p file, or the clock's epoch if it cannot be
/// read.
std::filesystem::file_time_type last_write_time_of(const std::string& file)
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
      packet_worker_(
          settings, adapters.packets, random_incarnation(),
          {.request_reading = [this](const read_request& request)
           { state_reader_.update_request(request); },
           .query_peer = [this](const peer_query& request)
           { return peer_query_queue_.send(request); },
           .set_ready = [this](bool is_ready) { status_server_.set_ready(is_ready); },
           .total_traffic =
               [this, &source = adapters.state]
           {
               return worker_traffic{.state_transfers = state_transfer_.total_traffic(),
                                     .store = source.total_traffic()};
           },
           .messages_dropped =
               [this]
           {
               return messages_dropped();
           }}),
      state_reader_queue_(packet_worker_.context(), queue_capacity,
                          [this](packet_worker_message message)
                          { packet_worker_.handle(std::move(message)); }),
      state_transfer_queue_(packet_worker_.context(), queue_capacity,
                            [this](packet_worker_message message)
                            { packet_worker_.handle(std::move(message)); }),
      status_server_queue_(packet_worker_.context(), queue_capacity,
                           [this](packet_worker_message message)
                           { packet_worker_.handle(std::move(message)); }),
      state_reader_(adapters.state, static_cast<std::uint32_t>(hash_name(settings.name)),
                    [this](packet_worker_message message)
                    { return state_reader_queue_.send(std::move(message)); }),
      state_transfer_({.local = settings.peer,
                       .key = settings.key,
                       .self = id_of<instance_id>(settings.name),
                       .parse_configuration = adapters.parse_configuration},
                      [this](packet_worker_message message)
                      { state_transfer_queue_.send(std::move(message)); }),
      status_server_({.ready = settings.ready,
                      .ready_path = settings.ready_path,
                      .metrics = settings.metrics},
                     [this](packet_worker_message message)
                     { status_server_queue_.send(std::move(message)); }),
      peer_query_queue_(state_transfer_.context(), queue_capacity,
                        [this](const peer_query& request)
                        { state_transfer_.query_peer(request); }),
      signals_(packet_worker_.context(), SIGTERM, SIGINT, SIGHUP),
      settings_timer_(packet_worker_.context()),
      settings_written_(last_write_time_of(settings_file_))
{
    wait_for_signal();
    watch_settings();
}

dropped_message_counts daemon::messages_dropped() const
{
    return {.state_reader = state_reader_queue_.dropped(),
            .state_transfer = state_transfer_queue_.dropped(),
            .status_server = status_server_queue_.dropped(),
            .packet_worker = peer_query_queue_.dropped()};
}

void daemon::watch_settings()
{
    settings_timer_.expires_after(settings_check_interval);
    settings_timer_.async_wait(
        [this](const boost::system::error_code& failure)
        {
            if (failure)
            {
                return;
            }
            if (last_write_time_of(settings_file_) != settings_written_)
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
                packet_worker_.handle(stop_request{});
            }
            wait_for_signal();
        });
}

void daemon::reload()
{
    settings_written_ = last_write_time_of(settings_file_);
    std::ifstream file(settings_file_, std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(settings, read_settings(text));
            packet_worker_.handle(settings_update{.seeds = std::move(settings.seeds)});
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
    std::thread state_transfer_thread([this] { state_transfer_.run(); });
    std::thread status_server_thread([this] { status_server_.run(); });
    std::thread state_reader_thread([this] { state_reader_.run(); });
    const sigset_t unblocked = daemon_signals();
    pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
    packet_worker_.run();
    state_transfer_.stop();
    status_server_.stop();
    state_reader_.stop();
    state_transfer_thread.join();
    status_server_thread.join();
    state_reader_thread.join();
}

} // namespace kumquatpath
