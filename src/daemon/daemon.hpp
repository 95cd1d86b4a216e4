#ifndef KUMQUATPATH_DAEMON_DAEMON_HPP
#define KUMQUATPATH_DAEMON_DAEMON_HPP

/// \file
/// The process of one entry instance: its worker threads and the message queues between
/// them.

#include "packet_worker.hpp"
#include "state_reader.hpp"
#include "state_transfer.hpp"
#include "status_server.hpp"

#include <kumquatpath/edge/message_queue.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <string>

namespace kumquatpath
{

/// The implementations through which the daemon reads packets, the shared state and
/// configurations. They must outlive the daemon.
struct daemon_adapters
{
    const packet_format& packets;
    state_source& state;
    configuration_parser parse_configuration = nullptr;
};

/// Returns the signals that the daemon handles. They may be blocked until daemon::run(),
/// which unblocks them on its thread.
sigset_t daemon_signals();

/// Runs each worker on a thread of its own. The packet_worker uses the thread that calls
/// run().
///
/// SIGTERM and SIGINT start a graceful stop. SIGHUP or a change of the settings file
/// reloads the settings, of which only the seeds take effect without a restart. If the
/// file is invalid, the error is logged and the settings stay as they were.
class daemon
{
public:
    /// Binds every port of \p settings, which were read from \p settings_file. Throws
    /// boost::system::system_error if a port cannot be bound.
    daemon(const daemon_settings& settings, std::string settings_file,
           const daemon_adapters& adapters);

    /// Serves until a graceful stop is complete.
    void run();

private:
    void wait_for_signal();
    void watch_settings();
    void reload();
    dropped_message_counts messages_dropped() const;

    std::string settings_file_;
    packet_worker packet_worker_;
    message_queue<packet_worker_message> state_reader_queue_;
    message_queue<packet_worker_message> state_transfer_queue_;
    message_queue<packet_worker_message> status_server_queue_;
    state_reader state_reader_;
    state_transfer state_transfer_;
    status_server status_server_;
    message_queue<peer_query> peer_query_queue_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer settings_timer_;
    std::filesystem::file_time_type settings_written_;
};

} // namespace kumquatpath

#endif
