#include "status_server.hpp"

#include "unexpected_error.hpp"

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

constexpr std::size_t max_sessions = 32;
constexpr auto session_timeout = std::chrono::seconds(5);
constexpr std::size_t max_header_bytes = 8192;
constexpr std::string_view metrics_path = "/metrics";
constexpr std::string_view status_path = "/v1/status";
constexpr beast::string_view text_type = "text/plain";
constexpr beast::string_view metrics_type = "text/plain; version=0.0.4";
constexpr beast::string_view json_type = "application/json";

} // namespace

/// One connection, which handles its requests one at a time.
struct status_server::session : std::enable_shared_from_this<session>
{
    session(status_server& server, tcp::socket socket)
        : owner(server), stream(std::move(socket))
    {
        ++owner.open_sessions_;
    }

    ~session()
    {
        --owner.open_sessions_;
    }

    void read_request_header()
    {
        parser.emplace();
        parser->header_limit(max_header_bytes);
        stream.expires_after(session_timeout);
        http::async_read(stream, buffer, *parser,
                         [self = shared_from_this()](const beast::error_code& failure,
                                                     std::size_t /*size*/)
                         {
                             if (!failure)
                             {
                                 self->handle_request();
                             }
                         });
    }

    void handle_request()
    {
        const auto target = parser->get().target();
        const std::string_view path(target.data(), target.size());
        if (parser->get().method() != http::verb::get)
        {
            write_response(http::status::method_not_allowed, "only GET is supported\n");
        }
        else if (path == owner.ready_path_)
        {
            const bool is_ready = owner.is_ready_;
            write_response(is_ready ? http::status::ok
                                    : http::status::service_unavailable,
                           is_ready ? "ready\n" : "not ready\n");
        }
        else if (path == metrics_path)
        {
            request_page(page_kind::metrics);
        }
        else if (path == status_path)
        {
            request_page(page_kind::status);
        }
        else
        {
            write_response(http::status::not_found, "page not found\n");
        }
    }

    void request_page(page_kind page)
    {
        const auto type = page == page_kind::status ? json_type : metrics_type;
        const auto send = [self = shared_from_this(), type](const std::string& text)
        {
            asio::post(self->owner.context_, [self, text, type]
                       { self->write_response(http::status::ok, text, type); });
        };
        owner.send_message_(page_request{.page = page, .respond = send});
    }

    void write_response(http::status status, const std::string& body,
                        beast::string_view type = text_type)
    {
        response = {};
        response.version(parser->get().version());
        response.result(status);
        response.set(http::field::content_type, type);
        response.keep_alive(parser->get().keep_alive());
        response.body() = body;
        response.prepare_payload();
        http::async_write(stream, response,
                          [self = shared_from_this()](const beast::error_code& failure,
                                                      std::size_t /*size*/)
                          { self->finish_response(failure); });
    }

    void finish_response(const beast::error_code& failure)
    {
        if (!failure && response.keep_alive())
        {
            read_request_header();
            return;
        }
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    status_server& owner;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

status_server::status_server(const status_server_options& options,
                             std::function<void(packet_worker_message)> send_message)
    : ready_path_(options.ready_path), send_message_(std::move(send_message)),
      ready_acceptor_(context_, to_tcp_endpoint(options.ready)),
      metrics_acceptor_(context_, to_tcp_endpoint(options.metrics))
{
    accept(ready_acceptor_);
    accept(metrics_acceptor_);
}

void status_server::set_ready(bool is_ready)
{
    is_ready_ = is_ready;
}

void status_server::run()
{
    run_context(context_, "status_server");
}

void status_server::stop()
{
    context_.stop();
}

void status_server::accept(tcp::acceptor& acceptor)
{
    acceptor.async_accept(
        [this, &acceptor](const boost::system::error_code& failure, tcp::socket socket)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            accept(acceptor);
            if (!failure && open_sessions_ < max_sessions)
            {
                std::make_shared<session>(*this, std::move(socket))
                    ->read_request_header();
            }
        });
}

} // namespace kumquatpath
