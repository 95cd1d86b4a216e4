/// \file
/// Tests that a stop of state_transfer does not wait for peers.

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <state_transfer.hpp>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(state_transfer_stop)
{
    using tcp = boost::asio::ip::tcp;

    boost::asio::io_context context;
    tcp::acceptor silent_peer{context, {boost::asio::ip::address_v4::loopback(), 0}};
    state_transfer transfer{
        {.local = {.address = 0x7f000001, .port = 0}, .self = id_of<instance_id>("a")},
        [](const packet_worker_message&) {
        }};

    /// Returns how long state_transfer::run() goes on after the stop.
    std::chrono::steady_clock::duration time_of_stop(std::jthread & runner)
    {
        const auto started = std::chrono::steady_clock::now();
        transfer.stop();
        runner.join();
        return std::chrono::steady_clock::now() - started;
    }
};

TEST(state_transfer_stop, stops_at_once_while_a_peer_owes_its_reply)
{
    std::jthread runner([this] { transfer.run(); });
    const peer_query query{
        .peer = {.address = 0x7f000001, .port = silent_peer.local_endpoint().port()}};
    boost::asio::post(transfer.context(), [&] { transfer.query_peer(query); });
    const tcp::socket connection = silent_peer.accept();
    CHECK_TRUE(time_of_stop(runner) < 500ms);
}
