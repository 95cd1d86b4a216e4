#include <kumquatpath/edge/http_client.hpp>
#include <kumquatpath/edge/tcp_address.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>

namespace kumquatpath
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// The largest body that is read, in bytes: a few platform values with their framing.
constexpr std::uint64_t largest_body = 16'000'000;

http::verb verb_of(http_method method)
{
    switch (method)
    {
    case http_method::read:
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
    /// Whether a whole call has been answered on this connection.
    bool is_used = false;
};

http_client::http_client(const endpoint& server) : server_(server) {}

http_client::~http_client() = default;

beast::error_code http_client::run(const std::optional<beast::error_code>& ended)
{
    context_.restart();
    if (is_cancelled_)
    {
        return asio::error::operation_aborted;
    }
    context_.run();
    const beast::error_code result = ended.value_or(asio::error::operation_aborted);
    has_timed_out_ = result == beast::error::timeout;
    return result;
}

void http_client::cancel()
{
    is_cancelled_ = true;
    context_.stop();
}

bool http_client::connect(std::chrono::milliseconds timeout)
{
    connection_ = std::make_unique<connection>(context_);
    std::optional<beast::error_code> ended;
    connection_->stream.expires_after(timeout);
    connection_->stream.async_connect(to_tcp(server_),
                                      [&](beast::error_code error) { ended = error; });
    if (run(ended))
    {
        connection_.reset();
        return false;
    }
    beast::error_code ignored;
    connection_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    return true;
}

boost::leaf::result<http_answer> http_client::call_once(const http_request& request)
{
    if (!connection_ && !connect(request.timeout))
    {
        return boost::leaf::new_error(http_failure::not_sent);
    }
    http::request<http::string_body> message(verb_of(request.method), request.target, 11,
                                             request.body);
    message.set(http::field::host, to_string(server_));
    message.set(http::field::content_type, "application/json");
    message.prepare_payload();

    std::optional<beast::error_code> ended;
    const auto note = [&](beast::error_code error, std::size_t)
    {
        ended = error;
    };
    connection_->stream.expires_after(request.timeout);
    http::async_write(connection_->stream, message, note);
    http::response_parser<http::string_body> parser;
    parser.body_limit(largest_body);
    if (!run(ended))
    {
        ended.reset();
        http::async_read(connection_->stream, connection_->buffer, parser, note);
        run(ended);
    }
    if (ended.value_or(asio::error::operation_aborted))
    {
        connection_.reset();
        return boost::leaf::new_error(http_failure::no_answer);
    }
    connection_->is_used = true;
    http_answer answer{.status = parser.get().result_int(),
                       .body = std::move(parser.get().body())};
    if (!parser.get().keep_alive())
    {
        connection_.reset();
    }
    return answer;
}

boost::leaf::result<http_answer> http_client::call(const http_request& request)
{
    const bool may_be_stale = connection_ && connection_->is_used;
    auto answer = call_once(request);
    if (!answer && may_be_stale && !has_timed_out_ && request.method == http_method::read)
    {
        return call_once(request);
    }
    return answer;
}

} // namespace kumquatpath
