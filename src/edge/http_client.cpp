#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/http_client.hpp>
#include <kumquatpath/edge/tcp_endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <optional>

namespace kumquatpath
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

http::verb verb_of(http_method method)
{
    switch (method)
    {
    case http_method::get:
        return http::verb::get;
    case http_method::post:
        return http::verb::post;
    case http_method::put:
        return http::verb::put;
    case http_method::erase:
        break;
    }
    return http::verb::delete_;
}

} // namespace

struct http_client::connection
{
    explicit connection(asio::io_context& context) : stream(context) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// Whether a complete response was received on this connection.
    bool has_served_call = false;
    /// The end of the last call.
    time_point idle_since;

    /// Returns whether bytes arrived that belong to no call, such as a second copy of the
    /// last response. The next response could not be told from them.
    bool has_unexpected_bytes() const
    {
        boost::system::error_code failure;
        return buffer.size() > 0 || stream.socket().available(failure) > 0;
    }

    bool may_be_silent(time_point now) const
    {
        return now >= idle_since + max_idle_connection_time;
    }
};

struct http_client::response_parser : http::response_parser<http::string_body>
{
};

http_client::http_client(const endpoint& server, std::string reported_header)
    : server_(server), reported_header_(std::move(reported_header))
{
}

http_client::~http_client() = default;

beast::error_code
http_client::run_operation(const std::optional<beast::error_code>& outcome)
{
    context_.restart();
    if (is_cancelled_)
    {
        return asio::error::operation_aborted;
    }
    context_.run();
    return outcome.value_or(asio::error::operation_aborted);
}

void http_client::cancel()
{
    is_cancelled_ = true;
    context_.stop();
}

traffic http_client::total_traffic() const noexcept
{
    return traffic_.total();
}

bool http_client::connect(std::chrono::milliseconds timeout)
{
    connection_ = std::make_unique<connection>(context_);
    connection_->idle_since = monotonic_now();
    std::optional<beast::error_code> outcome;
    connection_->stream.expires_after(timeout);
    connection_->stream.async_connect(to_tcp_endpoint(server_),
                                      [&](beast::error_code error) { outcome = error; });
    if (run_operation(outcome))
    {
        connection_.reset();
        return false;
    }
    beast::error_code ignored;
    connection_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    return true;
}

beast::error_code http_client::read_response(response_parser& parser)
{
    std::optional<time_point> first_bytes_at;
    while (!parser.is_done())
    {
        std::optional<beast::error_code> outcome;
        http::async_read_some(connection_->stream, connection_->buffer, parser,
                              [&](beast::error_code error, std::size_t bytes)
                              {
                                  traffic_.count_received(bytes);
                                  outcome = error;
                              });
        if (const beast::error_code failure = run_operation(outcome))
        {
            return failure;
        }
        const time_point now = monotonic_now();
        first_bytes_at = first_bytes_at.value_or(now);
        const auto left = *first_bytes_at + max_response_time - now;
        connection_->stream.expires_after(
            std::clamp<duration>(left, duration(0), max_pause_in_response));
    }
    return {};
}

boost::leaf::result<http_response> http_client::call_once(const http_request& request)
{
    if (connection_ && (connection_->has_unexpected_bytes() ||
                        connection_->may_be_silent(monotonic_now())))
    {
        connection_.reset();
    }
    may_have_been_closed_ = false;
    if (!connection_ && !connect(request.timeout))
    {
        return boost::leaf::new_error(http_failure::not_sent);
    }
    http::request<http::string_body> message(verb_of(request.method), request.target, 11,
                                             request.body);
    message.set(http::field::host, to_string(server_));
    message.set(http::field::content_type, "application/json");
    message.prepare_payload();

    std::optional<beast::error_code> outcome;
    connection_->stream.expires_after(request.timeout);
    http::async_write(connection_->stream, message,
                      [&](beast::error_code error, std::size_t bytes)
                      {
                          traffic_.count_sent(bytes);
                          outcome = error;
                      });
    response_parser parser;
    parser.body_limit(request.max_body_bytes);
    beast::error_code failure = run_operation(outcome);
    if (!failure)
    {
        failure = read_response(parser);
    }
    // Without a length, a body that broke off cannot be told from a complete one.
    const bool is_incomplete = failure || parser.get().need_eof();
    may_have_been_closed_ =
        failure && failure != beast::error::timeout && !parser.got_some();
    if (is_incomplete)
    {
        connection_.reset();
        if (failure == http::error::body_limit)
        {
            return boost::leaf::new_error(http_failure::response_too_long);
        }
        return boost::leaf::new_error(parser.got_some()
                                          ? http_failure::incomplete_response
                                          : http_failure::no_response);
    }
    connection_->has_served_call = true;
    connection_->idle_since = monotonic_now();
    http_response response{.status = parser.get().result_int(),
                           .body = std::move(parser.get().body())};
    const auto header = parser.get().find(reported_header_);
    if (header != parser.get().end())
    {
        response.reported_header = std::string(header->value());
    }
    if (!parser.get().keep_alive())
    {
        connection_.reset();
    }
    return response;
}

boost::leaf::result<http_response> http_client::call(const http_request& request)
{
    const bool may_be_stale = connection_ && connection_->has_served_call;
    auto response = call_once(request);
    if (!response && may_be_stale && may_have_been_closed_ &&
        request.method == http_method::get)
    {
        return call_once(request);
    }
    return response;
}

} // namespace kumquatpath
