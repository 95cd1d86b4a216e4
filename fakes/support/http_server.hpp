#ifndef KUMQUATPATH_FAKES_SUPPORT_HTTP_SERVER_HPP
#define KUMQUATPATH_FAKES_SUPPORT_HTTP_SERVER_HPP

/// \file
/// A minimal HTTP/JSON server for the fakes.

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

/// A request, with its URL split into path and query. Query parameters are not
/// percent-decoded.
struct http_request
{
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;

    /// Returns the query parameter \p name as a number, or \p default_value if it is
    /// absent. Throws if it is not a number.
    std::uint64_t number_parameter(const std::string& name,
                                   std::uint64_t default_value) const;
};

/// The response to a request. A null body is sent as an empty one.
struct http_response
{
    unsigned status = 200;
    boost::json::value body;
    /// Further headers, by name.
    std::map<std::string, std::string> headers;
    /// Closes the connection without sending the response.
    bool close_without_response = false;
};

/// Handles a request; it may suspend before it returns the response.
using http_handler =
    std::function<boost::asio::awaitable<http_response>(const http_request&)>;

/// Passes requests on \p address to \p handler for as long as \p context runs. If the
/// handler throws, the response has status 400 and the message of the exception. Throws
/// if the address cannot be bound.
void serve_http(boost::asio::io_context& context, const endpoint& address,
                http_handler handler);

} // namespace kumquatpath::fakes

#endif
