#ifndef KUMQUATPATH_DAEMON_STATUS_SERVER_HPP
#define KUMQUATPATH_DAEMON_STATUS_SERVER_HPP

/// \file
/// The duty that answers over HTTP: the fabric that asks for readiness, and operators.

#include "messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>

namespace kumquatpath
{

/// Where HTTP is answered.
struct status_server_options
{
    endpoint ready;
    std::string ready_path;
    /// Serves /metrics and /v1/status.
    endpoint metrics;
};

/// Answers GET requests. All but set_ready() and stop() belongs to the thread in run().
class status_server
{
public:
    /// Binds the ports. Throws boost::system::system_error if that fails.
    status_server(const status_server_options& options,
                  std::function<void(packet_worker_message)> send_message);

    /// Sets what the fabric is told; from any thread.
    void set_ready(bool is_ready);

    void run();

    /// Ends run(); from any thread.
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
    std::size_t open_sessions_ = 0;
};

} // namespace kumquatpath

#endif
