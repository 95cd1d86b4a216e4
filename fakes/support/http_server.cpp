#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>

#include <support/datagram_socket.hpp>
#include <support/http_server.hpp>

#include <memory>
#include <sstream>

namespace kumquatpath::fakes
{
namespace
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

using shared_handler = std::shared_ptr<http_handler>;
using raw_request = http::request<http::string_body>;
using raw_response = http::response<http::string_body>;

/// The longest request body; a longer one is a read error that closes the connection. It
/// leaves room for an escaped value of 1 MB.
constexpr std::uint64_t max_body_bytes = 8ULL << 20U;

auto redirect_to(boost::system::error_code& error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

http_request parse_request(const raw_request& raw)
{
    const std::string target(raw.target());
    const auto question_mark = target.find('?');
    http_request request{.method = raw.method(),
                         .path = target.substr(0, question_mark),
                         .body = raw.body()};
    std::istringstream parameters(
        question_mark == std::string::npos ? "" : target.substr(question_mark + 1));
    for (std::string parameter; std::getline(parameters, parameter, '&');)
    {
        const auto equals = parameter.find('=');
        request.query[parameter.substr(0, equals)] =
            equals == std::string::npos ? "" : parameter.substr(equals + 1);
    }
    return request;
}

awaitable<http_response> call_handler(shared_handler handler, const http_request& request)
{
    try
    {
        co_return co_await (*handler)(request);
    }
    catch (const std::exception& error)
    {
        co_return http_response{.status = 400, .body = {{"error", error.what()}}};
    }
}

awaitable<void> serve_connection(tcp::socket socket, shared_handler handler)
{
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (true)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await http::async_read(socket, buffer, parser, redirect_to(error));
        if (error)
        {
            co_return;
        }
        const http_request request = parse_request(parser.get());
        const http_response response = co_await call_handler(handler, request);
        if (response.close_without_response)
        {
            co_return;
        }
        raw_response raw(static_cast<http::status>(response.status),
                         parser.get().version());
        raw.set(http::field::content_type, "application/json");
        raw.keep_alive(parser.get().keep_alive());
        for (const auto& [name, value] : response.headers)
        {
            raw.set(name, value);
        }
        if (!response.body.is_null())
        {
            raw.body() = boost::json::serialize(response.body);
        }
        raw.prepare_payload();
        co_await http::async_write(socket, raw, redirect_to(error));
        if (error || !raw.keep_alive())
        {
            co_return;
        }
    }
}

awaitable<void> accept_connections(tcp::acceptor acceptor, shared_handler handler)
{
    while (true)
    {
        boost::system::error_code error;
        tcp::socket socket = co_await acceptor.async_accept(redirect_to(error));
        if (!error)
        {
            boost::asio::co_spawn(acceptor.get_executor(),
                                  serve_connection(std::move(socket), handler),
                                  boost::asio::detached);
        }
    }
}

} // namespace

std::uint64_t http_request::number_parameter(const std::string& name,
                                             std::uint64_t default_value) const
{
    const auto found = query.find(name);
    return found == query.end() ? default_value : std::stoull(found->second);
}

void serve_http(boost::asio::io_context& context, const endpoint& address,
                http_handler handler)
{
    tcp::acceptor acceptor(context, to_asio_endpoint<tcp>(address));
    boost::asio::co_spawn(
        context,
        accept_connections(std::move(acceptor),
                           std::make_shared<http_handler>(std::move(handler))),
        boost::asio::detached);
}

} // namespace kumquatpath::fakes
