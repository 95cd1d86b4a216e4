/// \file
/// Tests of the configuration's text in a reply to a peer, over loopback.

#include <kumquatpath/edge/compression.hpp>

#include <boost/asio/post.hpp>

#include <state_transfer.hpp>

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint address{.address = 0x7f550101, .port = 7005};
constexpr state_revision revision{7};

std::string long_text()
{
    std::string text;
    for (int i = 0; i < 20'000; ++i)
    {
        text += R"({"name":"route-)" + std::to_string(i) + R"(","kind":"idempotent"})";
    }
    return text;
}

std::shared_ptr<const routing_table> accept_text(const std::string& /*text*/,
                                                 state_revision /*revision*/)
{
    return std::make_shared<const routing_table>();
}

} // namespace

/// An instance that asks itself for the state.
TEST_GROUP(state_transfer_text)
{
    const std::string text = long_text();
    std::promise<peer_reply> reply;
    state_transfer transfer{
        {.local = address, .key = {1}, .self = {1}, .parse_configuration = accept_text},
        [this](packet_worker_message message)
        {
            handle(std::move(message));
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

    void handle(packet_worker_message message)
    {
        if (auto* const request = std::get_if<peer_state_request>(&message))
        {
            request->respond({.update = {.position = {9}},
                              .configuration = revision,
                              .configuration_text = text});
        }
        if (auto* const received = std::get_if<peer_reply>(&message))
        {
            reply.set_value(std::move(*received));
        }
    }

    /// Sends a request and returns the bytes that were sent for it and for its reply.
    std::uint64_t ask(bool accepts_compressed_text)
    {
        reply = {};
        auto received = reply.get_future();
        const std::uint64_t sent_before = transfer.total_traffic().sent;
        const peer_query query{
            .peer = address,
            .instance = {1},
            .request = {.accepts_compressed_text = accepts_compressed_text}};
        boost::asio::post(transfer.context(), [&] { transfer.query_peer(query); });
        CHECK_TRUE(received.wait_for(1s) == std::future_status::ready);
        const peer_reply result = received.get();
        CHECK_TRUE(result.reply.configuration_text == text);
        CHECK_TRUE(result.table != nullptr);
        // The end of the write is counted after the reply has arrived.
        std::this_thread::sleep_for(50ms);
        return transfer.total_traffic().sent - sent_before;
    }
};

// A configuration of 0.9 MB takes a second over a slow link, and more if peers share it.
TEST(state_transfer_text, is_compressed_for_a_peer_that_can_read_it)
{
    CHECK_TRUE(ask(true) * 5 < text.size());
    CHECK_TRUE(ask(true) * 5 < text.size());
}

TEST(state_transfer_text, is_plain_for_a_peer_of_an_older_release)
{
    CHECK_TRUE(ask(false) > text.size());
}
