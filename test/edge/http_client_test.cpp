/// \file
/// Tests of the HTTP client against a server that misuses a connection.

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/edge/http_client.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <support/canned_server.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

/// Answers one request with \p pieces, with \p pause after each of them.
class slow_server
{
public:
    slow_server(std::vector<std::string> pieces, std::chrono::milliseconds pause)
        : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this, pieces = std::move(pieces), pause] { serve(pieces, pause); })
    {
    }

    endpoint address() const
    {
        return {.address = 0x7f000001, .port = acceptor_.local_endpoint().port()};
    }

private:
    void serve(const std::vector<std::string>& pieces, std::chrono::milliseconds pause)
    {
        boost::asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket);
        std::string request;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                error);
        for (const std::string& each : pieces)
        {
            boost::asio::write(socket, boost::asio::buffer(each), error);
            std::this_thread::sleep_for(pause);
        }
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::jthread thread_;
};

} // namespace

TEST_GROUP(http_client){static std::string body_of(http_client & client){
    const auto response = client.call({.target = "/", .timeout = 1000ms});
return response ? response->body : "no response";
}
}
;

// A server sends an answer twice. The second copy used to be taken for the answer to the
// next call on the same connection.
TEST(http_client, a_second_copy_of_a_response_is_not_taken_for_the_next_response)
{
    const std::string first = http_response_text(200, "first");
    canned_server server({{first + first}, {http_response_text(200, "second")}});
    http_client client(server.address());
    STRCMP_EQUAL("first", body_of(client).c_str());
    STRCMP_EQUAL("second", body_of(client).c_str());
    server.join();
}

TEST(http_client, a_response_that_breaks_off_is_no_response)
{
    canned_server server(
        {{"HTTP/1.1 200 X\r\nContent-Length: 40\r\n\r\n{\"items\":[]}"}});
    http_client client(server.address());
    STRCMP_EQUAL("no response", body_of(client).c_str());
    server.join();
}

// The end of the connection also ends a body without a length, so a body that broke off
// looks complete.
TEST(http_client, a_response_without_a_length_is_no_response)
{
    canned_server server({{"HTTP/1.1 200 X\r\n\r\n{\"items\":[]}"}});
    http_client client(server.address());
    STRCMP_EQUAL("no response", body_of(client).c_str());
    server.join();
}

// Something between the ends forgets an idle connection and drops its packets from then
// on. The next call used to wait for its whole timeout.
TEST(http_client, a_connection_that_went_silent_while_it_was_idle_is_not_used_again)
{
    canned_server server(
        {{http_response_text(200, "first")}, {http_response_text(200, "second")}},
        after_last_response::stay_silent);
    http_client client(server.address());
    STRCMP_EQUAL("first", body_of(client).c_str());
    std::this_thread::sleep_for(max_idle_connection_time);
    const time_point started = monotonic_now();
    STRCMP_EQUAL("second", body_of(client).c_str());
    CHECK_TRUE(monotonic_now() - started < 500ms);
    server.join();
}

TEST(http_client, a_connection_that_is_used_all_the_time_is_kept)
{
    const std::string response = http_response_text(200, "body");
    canned_server server({{response, response, response}});
    http_client client(server.address());
    for (int i = 0; i < 3; ++i)
    {
        STRCMP_EQUAL("body", body_of(client).c_str());
        std::this_thread::sleep_for(max_idle_connection_time * 2 / 3);
    }
    server.join();
}

// A large configuration over a slow link takes longer than a call may wait for an answer.
TEST(http_client, a_response_that_keeps_arriving_is_not_given_up)
{
    slow_server server(
        {"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n", "b", "o", "d", "y"}, 100ms);
    http_client client(server.address());
    const auto response = client.call({.target = "/", .timeout = 200ms});
    CHECK_TRUE(static_cast<bool>(response));
    STRCMP_EQUAL("body", response->body.c_str());
}

TEST(http_client, a_response_that_stops_arriving_is_given_up)
{
    slow_server server({"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n", "bo", "dy"},
                       max_pause_in_response + 300ms);
    http_client client(server.address());
    const time_point started = monotonic_now();
    CHECK_FALSE(static_cast<bool>(client.call({.target = "/", .timeout = 2000ms})));
    CHECK_TRUE(monotonic_now() - started < max_pause_in_response + 300ms);
}

TEST(http_client, counts_the_bytes_of_requests_and_responses)
{
    const std::string response = http_response_text(200, "body");
    canned_server server({{response, response}});
    http_client client(server.address());
    body_of(client);
    const traffic once = client.total_traffic();
    body_of(client);
    server.join();
    CHECK(once.sent > std::string("GET / HTTP/1.1").size());
    LONGS_EQUAL(response.size(), once.received);
    LONGS_EQUAL(2 * once.sent, client.total_traffic().sent);
    LONGS_EQUAL(2 * once.received, client.total_traffic().received);
}

namespace
{

http_failure failure_of(http_client& client, const http_request& request)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<http_failure>
        {
            BOOST_LEAF_CHECK(client.call(request));
            return http_failure::not_sent;
        },
        [](http_failure failure) { return failure; },
        [] { return http_failure::not_sent; });
}

} // namespace

TEST(http_client, a_response_that_is_too_long_is_told_from_one_that_breaks_off)
{
    canned_server server({{http_response_text(200, std::string(11, 'x'))},
                          {"HTTP/1.1 200 X\r\nContent-Length: 40\r\n\r\n{\"items\":[]}"},
                          {""}});
    http_client client(server.address());
    const http_request request{.target = "/", .timeout = 1000ms, .max_body_bytes = 10};
    CHECK_TRUE(failure_of(client, request) == http_failure::response_too_long);
    CHECK_TRUE(failure_of(client, {.target = "/", .timeout = 1000ms}) ==
               http_failure::incomplete_response);
    CHECK_TRUE(failure_of(client, {.target = "/", .timeout = 1000ms}) ==
               http_failure::no_response);
    server.join();
}

TEST(http_client, a_response_that_is_too_long_is_not_received)
{
    canned_server server({{http_response_text(200, std::string(3'000'000, 'x'))}});
    http_client client(server.address());
    failure_of(client, {.target = "/", .timeout = 1000ms, .max_body_bytes = 1000});
    CHECK_TRUE(client.total_traffic().received < 1'000'000);
    server.join();
}

// The same request on a new connection gets the same response.
TEST(http_client, a_response_that_is_too_long_is_not_asked_for_twice)
{
    canned_server server({{http_response_text(200, "first"),
                           http_response_text(200, std::string(11, 'x'))},
                          {http_response_text(200, "third")}});
    http_client client(server.address());
    STRCMP_EQUAL("first", body_of(client).c_str());
    const http_request request{
        .target = "/long", .timeout = 1000ms, .max_body_bytes = 10};
    CHECK_TRUE(failure_of(client, request) == http_failure::response_too_long);
    STRCMP_EQUAL("third", body_of(client).c_str());
    server.join();
    UNSIGNED_LONGS_EQUAL(3, server.requests.size());
}
