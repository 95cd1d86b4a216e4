#ifndef KUMQUATPATH_EDGE_HTTP_CLIENT_HPP
#define KUMQUATPATH_EDGE_HTTP_CLIENT_HPP

/// \file
/// A blocking HTTP/1.1 client that bounds the time of every call.

#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <boost/system/error_code.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace kumquatpath
{

/// The methods that the client sends.
enum class http_method : std::uint8_t
{
    get,
    post,
    put,
    delete_,
};

/// One request. Its text fields are sent as they are.
struct http_request
{
    http_method method = http_method::get;
    /// The path and the query, with a leading slash.
    std::string target;
    /// A JSON body, or nothing.
    std::string body;
    std::chrono::milliseconds timeout{2000};
};

/// A whole answer.
struct http_response
{
    unsigned status = 0;
    std::string body;
};

/// Why a call brought no answer.
enum class http_failure : std::uint8_t
{
    /// No byte of the request was sent: it has not taken effect.
    not_sent,
    /// The request was sent, at least in part, and no whole answer came: it may have
    /// taken effect, or may still do so.
    no_response,
};

/// A client of one server. It keeps one connection and opens a new one when that fails.
/// An object belongs to one thread at a time.
class http_client
{
public:
    explicit http_client(const endpoint& server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends \p request and waits for the answer; opening a connection and the call
    /// itself each take at most its timeout. Fails with http_failure.
    ///
    /// A read that fails at once on a connection which an earlier call left open is sent
    /// once more on a new one, as the server may have closed the old one in the meantime.
    /// A read that got no answer in time, and any other method, is sent once.
    boost::leaf::result<http_response> call(const http_request& request);

    /// Ends the call that is under way and fails all later ones; may be called from any
    /// thread.
    void cancel();

private:
    struct connection;

    boost::leaf::result<http_response> call_once(const http_request& request);
    bool connect(std::chrono::milliseconds timeout);
    boost::system::error_code
    run_operation(const std::optional<boost::system::error_code>& outcome);

    endpoint server_;
    boost::asio::io_context context_{1};
    std::atomic<bool> is_cancelled_{false};
    bool has_timed_out_ = false;
    std::unique_ptr<connection> connection_;
};

} // namespace kumquatpath

#endif
