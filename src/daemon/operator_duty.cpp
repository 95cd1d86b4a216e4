#include "operator_duty.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>

namespace kumquatpath
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t most_sessions = 32;
constexpr auto session_timeout = std::chrono::seconds(5);
constexpr std::size_t longest_request = 8192;

struct page
{
    http::status status = http::status::ok;
    std::string_view content_type = "application/json";
    std::string body;
};

page page_for(std::string_view target, const instance_snapshot& shown)
{
    if (target == "/v1/status")
    {
        return {.body = status_json(shown)};
    }
    if (target == "/v1/metrics.json")
    {
        return {.body = metrics_json(shown)};
    }
    if (target == "/metrics")
    {
        return {.content_type = "text/plain; version=0.0.4", .body = metrics_text(shown)};
    }
    return {.status = http::status::not_found, .body = R"({"failure":"no such page"})"};
}

} // namespace

/// One connection: one request, one answer.
struct operator_duty::session : std::enable_shared_from_this<session>
{
    session(operator_duty& duty, tcp::socket socket)
        : owner(duty), stream(std::move(socket))
    {
        ++owner.open_sessions_;
    }

    ~session()
    {
        --owner.open_sessions_;
    }

    void start()
    {
        stream.expires_after(session_timeout);
        parser.header_limit(longest_request);
        http::async_read_header(
            stream, buffer, parser,
            [self = shared_from_this()](const beast::error_code& failure, std::size_t)
            {
                if (!failure)
                {
                    self->answer();
                }
            });
    }

    void answer()
    {
        const auto& request = parser.get();
        page chosen{.status = http::status::method_not_allowed,
                    .body = R"({"failure":"only GET is answered"})"};
        if (request.method() == http::verb::get && owner.shown_)
        {
            const auto target = request.target();
            chosen = page_for({target.data(), target.size()}, *owner.shown_);
        }
        response.result(chosen.status);
        response.set(http::field::content_type, std::string(chosen.content_type));
        response.body() = std::move(chosen.body);
        response.keep_alive(false);
        response.prepare_payload();
        http::async_write(
            stream, response,
            [self = shared_from_this()](const beast::error_code&, std::size_t)
            {
                beast::error_code ignored;
                self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            });
    }

    operator_duty& owner;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request_parser<http::empty_body> parser;
    http::response<http::string_body> response;
};

operator_duty::operator_duty(const endpoint& local)
    : acceptor_(context_, {asio::ip::address_v4(local.address), local.port})
{
    accept();
}

asio::io_context& operator_duty::context()
{
    return context_;
}

void operator_duty::handle(shared_snapshot snapshot)
{
    shown_ = std::move(snapshot);
}

void operator_duty::run()
{
    context_.run();
}

void operator_duty::stop()
{
    context_.stop();
}

void operator_duty::accept()
{
    acceptor_.async_accept(
        [this](const boost::system::error_code& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure && open_sessions_ < most_sessions)
            {
                std::make_shared<session>(*this, std::move(socket))->start();
            }
            accept();
        });
}

} // namespace kumquatpath
