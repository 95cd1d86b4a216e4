#ifndef KUMQUATPATH_DAEMON_OPERATOR_DUTY_HPP
#define KUMQUATPATH_DAEMON_OPERATOR_DUTY_HPP

/// \file
/// The duty that answers operators' queries over HTTP. It changes nothing.

#include "snapshot.hpp"

#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace kumquatpath
{

/// Serves GET /v1/status, /v1/metrics.json and /metrics. All of it belongs to the thread
/// in run().
class operator_duty
{
public:
    /// Binds \p local. Throws boost::system::system_error if that fails.
    explicit operator_duty(const endpoint& local);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Takes what is shown from now on.
    void handle(shared_snapshot snapshot);

    /// Serves until stop().
    void run();

    /// Ends run(); may be called from any thread.
    void stop();

private:
    struct session;

    void accept();

    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    shared_snapshot shown_;
    std::size_t open_sessions_ = 0;
};

/// Returns the status of an instance as JSON.
std::string status_json(const instance_snapshot& snapshot);

/// Returns the metrics of an instance as JSON.
std::string metrics_json(const instance_snapshot& snapshot);

/// Returns the metrics of an instance in the Prometheus text format, version 0.0.4.
std::string metrics_text(const instance_snapshot& snapshot);

} // namespace kumquatpath

#endif
