#ifndef KUMQUATPATH_TEST_SUPPORT_CANNED_SERVER_HPP
#define KUMQUATPATH_TEST_SUPPORT_CANNED_SERVER_HPP

/// \file
/// A TCP server on loopback that sends prepared responses.

#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

namespace kumquatpath::test
{

/// The responses that the server sends on one connection, one after each request. The
/// server closes the connection after the last one; an empty last response closes it
/// without a response to the request.
using canned_connection = std::vector<std::string>;

/// Returns a complete HTTP response. \p header is a line of its header with its end, or
/// empty.
inline std::string http_response_text(int status, const std::string& body,
                                      const std::string& header = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + header +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// What a canned_server does with a connection after its last response.
enum class after_last_response : std::uint8_t
{
    close,
    /// Keeps it open and sends nothing more, not even a reset.
    stay_silent,
};

/// Accepts one connection for each element, one after the other, on its own thread.
class canned_server
{
public:
    explicit canned_server(std::vector<canned_connection> connections,
                           after_last_response ending = after_last_response::close)
        : ending_(ending),
          acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this, connections = std::move(connections)] { serve(connections); })
    {
    }

    endpoint address() const
    {
        return {.address = 0x7f000001, .port = acceptor_.local_endpoint().port()};
    }

    /// The method, path and query of each request, such as "GET /v1/status". Read it only
    /// after join().
    std::vector<std::string> requests;

    /// Waits until all connections have been served.
    void join()
    {
        thread_.join();
    }

private:
    void serve(const std::vector<canned_connection>& connections)
    {
        for (const canned_connection& each : connections)
        {
            boost::asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket);
            for (const std::string& response : each)
            {
                std::string request;
                boost::system::error_code error;
                boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                                        "\r\n\r\n", error);
                requests.push_back(request.substr(0, request.find(" HTTP")));
                boost::asio::write(socket, boost::asio::buffer(response), error);
            }
            if (ending_ == after_last_response::stay_silent)
            {
                silent_.push_back(std::move(socket));
            }
        }
    }

    after_last_response ending_;
    boost::asio::io_context context_;
    std::vector<boost::asio::ip::tcp::socket> silent_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::jthread thread_;
};

} // namespace kumquatpath::test

#endif
