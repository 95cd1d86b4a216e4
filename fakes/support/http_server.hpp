#ifndef KUMQUATPATH_FAKES_SUPPORT_HTTP_SERVER_HPP
#define KUMQUATPATH_FAKES_SUPPORT_HTTP_SERVER_HPP

/// \file
/// A small HTTP/JSON server for the stand-ins.

#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <string>

namespace kumquatpath::fakes
{

/// A request, with its target split at the question mark.
struct http_request
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;

    /// Returns the number_parameter of the query parameter \p name, or \p default_value
    /// without one.
    std::uint64_t number_parameter(const std::string& name,
                                   std::uint64_t default_value) const;
};

/// The answer to a request, or the order to close the connection without one.
struct http_reply
{
    unsigned status = 200;
    boost::json::value body;
    bool close_without_reply = false;
};

/// Answers one request; it may wait before it does.
using http_handler =
    std::function<boost::asio::awaitable<http_reply>(const http_request&)>;

/// Serves \p handler on \p address for as long as \p context runs. A handler that throws
/// is answered with 400. Throws when the address can't be bound.
void serve_http(boost::asio::io_context& context, const endpoint& address,
                http_handler handler);

} // namespace kumquatpath::fakes

#endif
