#include "http_duty.hpp"

#include <kumquatpath/edge/tcp_endpoint.hpp>

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

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
constexpr std::string_view metrics_path = "/metrics";
constexpr std::string_view status_path = "/v1/status";

} // namespace

/// One connection; it answers one request after the other.
struct http_duty::session : std::enable_shared_from_this<session>
{
    session(http_duty& duty, tcp::socket socket) : owner(duty), stream(std::move(socket))
    {
        ++owner.open_sessions_;
    }

    ~session()
    {
        --owner.open_sessions_;
    }

    void read()
    {
        parser.emplace();
        parser->header_limit(longest_request);
        stream.expires_after(session_timeout);
        http::async_read(stream, buffer, *parser,
                         [self = shared_from_this()](const beast::error_code& failure,
                                                     std::size_t /*size*/)
                         {
                             if (!failure)
                             {
                                 self->answer();
                             }
                         });
    }

    void answer()
    {
        const auto target = parser->get().target();
        const std::string_view path(target.data(), target.size());
        if (parser->get().method() != http::verb::get)
        {
            write(http::status::method_not_allowed, "only GET is answered\n");
        }
        else if (path == owner.ready_path_)
        {
            const bool is_ready = owner.is_ready_;
            write(is_ready ? http::status::ok : http::status::service_unavailable,
                  is_ready ? "ready\n" : "not ready\n");
        }
        else if (path == metrics_path)
        {
            ask_for(page_kind::metrics);
        }
        else if (path == status_path)
        {
            ask_for(page_kind::status);
        }
        else
        {
            write(http::status::not_found, "no such page\n");
        }
    }

    void ask_for(page_kind page)
    {
        const auto send = [self = shared_from_this()](const std::string& text)
        {
            asio::post(self->owner.context_,
                       [self, text] { self->write(http::status::ok, text); });
        };
        owner.output_(page_was_asked{.page = page, .answer = send});
    }

    void write(http::status status, const std::string& body)
    {
        response = {};
        response.version(parser->get().version());
        response.result(status);
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.keep_alive(parser->get().keep_alive());
        response.body() = body;
        response.prepare_payload();
        http::async_write(stream, response,
                          [self = shared_from_this()](const beast::error_code& failure,
                                                      std::size_t /*size*/)
                          { self->go_on(failure); });
    }

    void go_on(const beast::error_code& failure)
    {
        if (!failure && response.keep_alive())
        {
            read();
            return;
        }
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    http_duty& owner;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

http_duty::http_duty(const http_options& options,
                     std::function<void(packet_input)> output)
    : ready_path_(options.ready_path), output_(std::move(output)),
      ready_acceptor_(context_, to_tcp_endpoint(options.ready)),
      metrics_acceptor_(context_, to_tcp_endpoint(options.metrics))
{
    accept(ready_acceptor_);
    accept(metrics_acceptor_);
}

void http_duty::set_ready(bool is_ready)
{
    is_ready_ = is_ready;
}

void http_duty::run()
{
    context_.run();
}

void http_duty::stop()
{
    context_.stop();
}

void http_duty::accept(tcp::acceptor& acceptor)
{
    acceptor.async_accept(
        [this, &acceptor](const boost::system::error_code& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure && open_sessions_ < most_sessions)
            {
                std::make_shared<session>(*this, std::move(socket))->read();
            }
            accept(acceptor);
        });
}

} // namespace kumquatpath
