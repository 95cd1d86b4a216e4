/// \file
/// Tests of state_transfer while its queue to the packet_worker is full.

#include "full_queue.hpp"

#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/tcp_endpoint.hpp>

#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <state_transfer.hpp>

#include <array>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace
{

constexpr endpoint address{.address = 0x7f550101, .port = 7004};
constexpr peer_key key{1};
/// A connection is closed by its deadline after 1.5 s; an earlier end has another cause.
constexpr auto before_deadline = 1s;

} // namespace

TEST_GROUP(state_transfer)
{
    boost::asio::io_context context;
    full_queue queue{
        [](packet_worker_message message)
        {
            std::get<peer_state_request>(message).respond({.update = {.position = {9}}});
        }};
    state_transfer transfer{{.local = address, .key = key, .self = {1}},
                            [this](packet_worker_message message)
                            {
                                queue.send(std::move(message));
                            }};
    std::jthread thread{[this]
                        {
                            transfer.run();
                        }};

    void teardown() override
    {
        transfer.stop();
        thread.join();
    }

    tcp::socket send_request()
    {
        tcp::socket socket(context);
        socket.connect(to_tcp_endpoint(address));
        const auto message =
            encode_fleet_message({.sender = {2}, .body = state_request{}}, key);
        std::array<unsigned char, 4> length{};
        boost::endian::store_big_u32(length.data(),
                                     static_cast<std::uint32_t>(message.size()));
        boost::asio::write(socket, boost::asio::buffer(length));
        boost::asio::write(socket, boost::asio::buffer(message));
        return socket;
    }

    void check_is_served(tcp::socket & socket)
    {
        queue.consume();
        CHECK_TRUE(read_to_end(socket).size() > 4);
    }
};

// The peer asks another instance at once instead of waiting for the deadline.
TEST(state_transfer, a_request_that_the_full_queue_drops_ends_the_connection_at_once)
{
    tcp::socket first = send_request();
    CHECK_TRUE(queue.wait_for(1));
    const auto started = std::chrono::steady_clock::now();
    tcp::socket second = send_request();
    STRCMP_EQUAL("", read_to_end(second).c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - started < before_deadline);
    UNSIGNED_LONGS_EQUAL(1, queue.dropped());
    check_is_served(first);
}

// An instance serves six peers at once; dropped requests must not use that up.
TEST(state_transfer, dropped_requests_leave_room_for_later_ones)
{
    tcp::socket first = send_request();
    CHECK_TRUE(queue.wait_for(1));
    for (int i = 0; i < 10; ++i)
    {
        tcp::socket dropped = send_request();
        read_to_end(dropped);
    }
    UNSIGNED_LONGS_EQUAL(10, queue.dropped());
    check_is_served(first);
    tcp::socket later = send_request();
    CHECK_TRUE(queue.wait_for(12));
    check_is_served(later);
}
