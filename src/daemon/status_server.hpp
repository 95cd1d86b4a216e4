#ifndef KUMQUATPATH_DAEMON_STATUS_SERVER_HPP
#define KUMQUATPATH_DAEMON_STATUS_SERVER_HPP

/// \file
/// The HTTP server for the fabric's readiness checks and for the operators' metrics and
/// status pages.

#include "messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>

namespace kumquatpath
{

/// The addresses and the path that the HTTP server serves.
struct status_server_options
{
    endpoint ready;
    std::string ready_path;
    /// Address of /metrics and /v1/status.
    endpoint metrics;
};

/// Serves GET requests. Only set_ready() and stop() may be called from threads other
/// than the one in run().
///
/// A connection beyond the limit of 32 is closed at once. Any other is closed when a
/// request, including the wait for it, takes longer than five seconds.
class status_server
{
public:
    /// Binds the ports. Throws boost::system::system_error if a port cannot be bound.
    /// \p send_message passes messages to the packet_worker.
    status_server(const status_server_options& options,
                  std::function<void(packet_worker_message)> send_message);

    /// Sets the response to readiness checks. May be called from any thread.
    void set_ready(bool is_ready);

    /// Serves requests until stop() is called.
    void run();

    /// Makes run() return. May be called from any thread.
    void stop();

private:
    struct session;

    void accept(boost::asio::ip::tcp::acceptor& acceptor);

    std::string ready_path_;
    std::function<void(packet_worker_message)> send_message_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor ready_acceptor_;
    boost::asio::ip::tcp::acceptor metrics_acceptor_;
    std::atomic<bool> is_ready_{false};
    /// Atomic because the packet_worker may drop the last reference to a session.
    std::atomic<std::size_t> open_sessions_ = 0;
};

} // namespace kumquatpath

#endif
