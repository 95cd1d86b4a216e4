/// \file
/// Tests of status_server: the types of its pages, and its answers while its queue to the
/// packet_worker is full.

#include "full_queue.hpp"

#include <kumquatpath/edge/tcp_endpoint.hpp>

#include <boost/asio/write.hpp>

#include <status_server.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr endpoint ready_address{.address = 0x7f550102, .port = 7002};
constexpr endpoint address{.address = 0x7f550102, .port = 7003};
/// A connection is closed by its timeout after 5 s; an earlier end has another cause.
constexpr auto before_timeout = 3s;

} // namespace

TEST_GROUP(status_server)
{
    boost::asio::io_context context;
    full_queue queue{[](packet_worker_message message)
                     {
                         std::get<page_request>(message).respond("page");
                     }};
    status_server server{
        {.ready = ready_address, .ready_path = "/ready", .metrics = address},
        [this](packet_worker_message message)
        {
            queue.send(std::move(message));
        }};
    std::jthread thread{[this]
                        {
                            server.run();
                        }};

    void teardown() override
    {
        server.stop();
        thread.join();
    }

    tcp::socket send_request(const std::string& path)
    {
        tcp::socket socket(context);
        socket.connect(to_tcp_endpoint(address));
        boost::asio::write(socket,
                           boost::asio::buffer("GET " + path +
                                               " HTTP/1.1\r\nConnection: close\r\n\r\n"));
        return socket;
    }

    std::string page(const std::string& path)
    {
        tcp::socket socket = send_request(path);
        CHECK_TRUE(queue.wait_for(++pages));
        queue.consume();
        return read_to_end(socket);
    }

    std::uint64_t pages = 0;
};

TEST(status_server, each_page_states_its_type)
{
    STRCMP_CONTAINS("Content-Type: application/json\r\n", page("/v1/status").c_str());
    STRCMP_CONTAINS("Content-Type: text/plain; version=0.0.4\r\n",
                    page("/metrics").c_str());
}

TEST(status_server, a_page_that_the_full_queue_drops_ends_the_connection_at_once)
{
    tcp::socket first = send_request("/metrics");
    CHECK_TRUE(queue.wait_for(1));
    const auto started = std::chrono::steady_clock::now();
    tcp::socket second = send_request("/metrics");
    STRCMP_EQUAL("", read_to_end(second).c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - started < before_timeout);
    UNSIGNED_LONGS_EQUAL(1, queue.dropped());
    queue.consume();
    STRCMP_CONTAINS("200 OK", read_to_end(first).c_str());
}

// The server has room for 32 connections; dropped pages must not use that up.
TEST(status_server, dropped_pages_leave_room_for_later_ones)
{
    tcp::socket first = send_request("/metrics");
    CHECK_TRUE(queue.wait_for(1));
    for (int i = 0; i < 40; ++i)
    {
        tcp::socket dropped = send_request("/metrics");
        read_to_end(dropped);
    }
    UNSIGNED_LONGS_EQUAL(40, queue.dropped());
    queue.consume();
    STRCMP_CONTAINS("200 OK", read_to_end(first).c_str());
    pages = 41;
    STRCMP_CONTAINS("200 OK", page("/metrics").c_str());
}

TEST(status_server, a_readiness_check_needs_no_room_in_the_queue)
{
    tcp::socket first = send_request("/metrics");
    CHECK_TRUE(queue.wait_for(1));
    server.set_ready(true);
    tcp::socket check = send_request("/ready");
    STRCMP_CONTAINS("200 OK", read_to_end(check).c_str());
}
