/// \file
/// Tests of the counters of control traffic.

#include <metrics.hpp>
#include <state_transfer.hpp>

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint asker{.address = 0x7f560101, .port = 7300};
constexpr endpoint answerer{.address = 0x7f560102, .port = 7300};

state_transfer_options options_of(const endpoint& local)
{
    return {.local = local, .key = {1}, .self = {local.address}};
}

/// Returns whether \p line is a line of \p page.
bool has_line(const std::string& page, const std::string& line)
{
    return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_GROUP(control_traffic){};

TEST(control_traffic, both_ends_of_a_state_transfer_count_the_same_bytes)
{
    state_transfer serving(options_of(answerer),
                           [](packet_worker_message message)
                           {
                               if (auto* const request =
                                       std::get_if<peer_state_request>(&message))
                               {
                                   request->respond({});
                               }
                           });
    std::atomic<bool> is_complete = false;
    state_transfer asking(options_of(asker),
                          [&](const packet_worker_message& message)
                          {
                              if (std::holds_alternative<peer_query_completion>(message))
                              {
                                  is_complete = true;
                              }
                          });
    asking.query_peer({.peer = answerer, .instance = {answerer.address}});
    std::thread serving_thread([&] { serving.run(); });
    std::thread asking_thread([&] { asking.run(); });
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    // The reply may arrive before the end that sends it has counted it.
    const auto is_counted = [&]
    {
        return is_complete && serving.total_traffic().sent > 0;
    };
    while (!is_counted() && std::chrono::steady_clock::now() < deadline)
    {
        std::this_thread::sleep_for(1ms);
    }
    serving.stop();
    asking.stop();
    serving_thread.join();
    asking_thread.join();
    const traffic asked = asking.total_traffic();
    const traffic served = serving.total_traffic();
    CHECK(asked.sent > 0);
    CHECK(asked.received > 0);
    LONGS_EQUAL(asked.sent, served.received);
    LONGS_EQUAL(asked.received, served.sent);
}

TEST(control_traffic, the_metrics_tell_the_channels_apart)
{
    const instance_metrics metrics{
        .control = {.heartbeats = {.sent = 1, .received = 2},
                    .state_transfers = {.sent = 3, .received = 4},
                    .store = {.sent = 5, .received = 6}}};
    const std::string page =
        metrics_page(metrics, make_entry_instance({.self = {1}}), time_point());
    CHECK(has_line(page, "kumquatpath_control_bytes_sent{channel=\"heartbeats\"} 1"));
    CHECK(has_line(page, "kumquatpath_control_bytes_received{channel=\"heartbeats\"} 2"));
    CHECK(
        has_line(page, "kumquatpath_control_bytes_sent{channel=\"state_transfers\"} 3"));
    CHECK(has_line(page,
                   "kumquatpath_control_bytes_received{channel=\"state_transfers\"} 4"));
    CHECK(has_line(page, "kumquatpath_control_bytes_sent{channel=\"store\"} 5"));
    CHECK(has_line(page, "kumquatpath_control_bytes_received{channel=\"store\"} 6"));
}
