#ifndef KUMQUATPATH_EDGE_HTTP_CLIENT_HPP
#define KUMQUATPATH_EDGE_HTTP_CLIENT_HPP

/// \file
/// A blocking HTTP/1.1 client with a timeout on every call.

#include <kumquatpath/edge/traffic_counter.hpp>
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

/// The HTTP methods that the client supports.
enum class http_method : std::uint8_t
{
    get,
    post,
    put,
    /// DELETE, whose own name is a C++ keyword.
    erase,
};

/// Leaves room for a few of the platform's values with their framing.
inline constexpr std::uint64_t default_max_body_bytes = 16'000'000;

/// A request. The text fields are sent without escaping.
struct http_request
{
    http_method method = http_method::get;
    /// The HTTP request target: the path, with a leading slash, and the query.
    std::string target;
    /// The JSON body; empty for none.
    std::string body;
    std::chrono::milliseconds timeout{2000};
    /// The longest body of a response.
    std::uint64_t max_body_bytes = default_max_body_bytes;
};

/// A complete response.
struct http_response
{
    unsigned status = 0;
    std::string body;
    /// The value of the header that the client reports; unset: the response has none.
    std::optional<std::string> reported_header;
};

/// Why a call returned no response.
enum class http_failure : std::uint8_t
{
    /// No byte of the request was sent, so it has not taken effect.
    not_sent,
    /// At least a part of the request may have been sent, but no response was received.
    /// The request may have taken effect or may still do so.
    no_response,
    /// The response broke off, stopped arriving or took too long. The request may have
    /// taken effect.
    incomplete_response,
    /// The body of the response is longer than the request allows, so the same request is
    /// likely to fail again. The request may have taken effect.
    response_too_long,
};

/// A connection without a call for this long is closed before the next call. An idle
/// connection may have gone silent without a reset, which only the end of a whole call
/// would show; a new connection costs one round trip. Longer than the pauses of a client
/// that calls all the time.
inline constexpr std::chrono::milliseconds max_idle_connection_time{1000};

/// A response that stops arriving for longer than this is given up.
inline constexpr std::chrono::milliseconds max_pause_in_response{900};

/// The longest time from the first bytes of a response to its end: a few of the largest
/// values of the platform over a slow link.
inline constexpr std::chrono::milliseconds max_response_time{8000};

/// A client of one server. It keeps one connection open between calls and reconnects when
/// that connection has failed or was idle for max_idle_connection_time. Not thread-safe,
/// except for cancel() and total_traffic().
class http_client
{
public:
    /// \p reported_header is the name of a header whose value each response reports;
    /// empty: none.
    explicit http_client(const endpoint& server, std::string reported_header = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends \p request and waits for the response. Connecting takes at most the
    /// request's timeout, and so do sending the request and waiting for the first bytes
    /// of the response together. From then on the call goes on as long as bytes arrive,
    /// with pauses of at most max_pause_in_response, for max_response_time at most. Fails
    /// with http_failure.
    ///
    /// A GET that fails on a reused connection before any byte of the response, other
    /// than by a timeout, is retried once on a new connection, because the server may
    /// have closed the idle one. Nothing else is retried.
    boost::leaf::result<http_response> call(const http_request& request);

    /// Aborts the call in progress and makes all later calls fail. May be called from any
    /// thread.
    void cancel();

    /// Returns the bytes of the requests and of the responses as far as they were parsed,
    /// failed calls included. What a cancelled call carried is not counted. May be called
    /// from any thread.
    traffic total_traffic() const noexcept;

private:
    struct connection;
    struct response_parser;

    boost::leaf::result<http_response> call_once(const http_request& request);
    bool connect(std::chrono::milliseconds timeout);
    /// Reads the response on the connection into \p parser.
    boost::system::error_code read_response(response_parser& parser);
    boost::system::error_code
    run_operation(const std::optional<boost::system::error_code>& outcome);

    endpoint server_;
    std::string reported_header_;
    boost::asio::io_context context_{1};
    std::atomic<bool> is_cancelled_{false};
    /// The last call failed as it does on a connection that the server has closed.
    bool may_have_been_closed_ = false;
    traffic_counter traffic_;
    std::unique_ptr<connection> connection_;
};

} // namespace kumquatpath

#endif
