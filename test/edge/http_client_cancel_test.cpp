/// \file
/// Tests that a cancelled HTTP client does not wait for a server that never responds.

#include <kumquatpath/edge/http_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(http_client_cancel)
{
    boost::asio::io_context context;
    /// The kernel accepts its connections; nobody reads from them.
    boost::asio::ip::tcp::acceptor silent_server{
        context, {boost::asio::ip::address_v4::loopback(), 0}};
    http_client client{
        {.address = 0x7f000001, .port = silent_server.local_endpoint().port()}};

    /// Returns how long a call takes that would wait for 20 s.
    std::chrono::steady_clock::duration time_of_call()
    {
        const auto started = std::chrono::steady_clock::now();
        CHECK_FALSE(client.call({.target = "/", .timeout = 20s}).has_value());
        return std::chrono::steady_clock::now() - started;
    }
};

TEST(http_client_cancel, a_call_that_waits_for_its_response_ends_at_once)
{
    const std::jthread canceller(
        [this]
        {
            std::this_thread::sleep_for(50ms);
            client.cancel();
        });
    CHECK_TRUE(time_of_call() < 1s);
}

TEST(http_client_cancel, a_later_call_fails_at_once)
{
    client.cancel();
    CHECK_TRUE(time_of_call() < 1s);
    CHECK_TRUE(time_of_call() < 1s);
}
