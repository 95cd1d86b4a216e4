/// \file
/// Tests of store_client against a store that counts its returns from a copy.

#include "state_failures.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <platform/store_client.hpp>
#include <support/canned_server.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::platform;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr store_era first{1};
constexpr store_era second{2};

std::string response_of_era(int era, int status, const std::string& body)
{
    return http_response_text(status, body, "Store-Era: " + std::to_string(era) + "\r\n");
}

std::string no_events_at(int position)
{
    return R"({"events":[],"at":)" + std::to_string(position) + "}";
}

std::string page_at(int position, bool has_more)
{
    return R"({"items":[{"key":"other/a","value":"","revision":3}],"hasMore":)" +
           std::string(has_more ? "true" : "false") + R"(,"at":)" +
           std::to_string(position) + "}";
}

std::optional<state_failure> failure_of_watch(store_client& client,
                                              state_revision position)
{
    return failure_of([&] { return client.wait_for_changes(position, 0ms); });
}

} // namespace

TEST_GROUP(store_era){};

TEST(store_era, is_part_of_positions_and_revisions)
{
    canned_server server(
        {{response_of_era(
              2, 200,
              R"({"items":[{"key":"servers/i-a","value":"","revision":3}],"hasMore":false,"at":9})"),
          response_of_era(2, 200, no_events_at(10))}});
    store_client client(server.address());
    const auto listing = client.read_all();
    CHECK_TRUE(static_cast<bool>(listing));
    CHECK_TRUE(listing->update.position == (state_revision{9, second}));
    CHECK_TRUE(listing->update.targets.at(0).revision == (state_revision{3, second}));
    const auto next = client.wait_for_changes(listing->update.position, 0ms);
    CHECK_TRUE(static_cast<bool>(next));
    CHECK_TRUE(next->update.position == (state_revision{10, second}));
    server.join();
}

// The revisions may have passed the old position before anyone asks; then no 410 tells.
TEST(store_era, that_is_later_than_the_positions_ends_a_watch_whatever_its_status)
{
    canned_server server({{response_of_era(2, 200, no_events_at(90)),
                           response_of_era(2, 503, ""), response_of_era(2, 410, "")}});
    store_client client(server.address());
    CHECK_TRUE(failure_of_watch(client, {50, first}) == state_failure::history_lost);
    CHECK_TRUE(failure_of_watch(client, {50, first}) == state_failure::history_lost);
    CHECK_TRUE(failure_of_watch(client, {50, first}) == state_failure::history_lost);
    server.join();
}

TEST(store_era, that_is_earlier_than_a_known_one_makes_a_response_outdated)
{
    canned_server server({{response_of_era(2, 200, no_events_at(90)),
                           response_of_era(1, 200, page_at(70, false)),
                           response_of_era(2, 200, no_events_at(90))}});
    store_client client(server.address());
    CHECK_FALSE(failure_of_watch(client, {50, second}).has_value());
    CHECK_TRUE(failure_of([&] { return client.read_all(); }) == state_failure::outdated);
    // Peers have told of a later one.
    CHECK_TRUE(failure_of_watch(client, {50, {3}}) == state_failure::outdated);
    server.join();
}

TEST(store_era, that_changes_between_two_pages_ends_the_listing)
{
    canned_server server({{response_of_era(1, 200, page_at(70, true)),
                           response_of_era(2, 200, page_at(40, false))}});
    store_client client(server.address());
    CHECK_TRUE(failure_of([&] { return client.read_all(); }) ==
               state_failure::history_lost);
    server.join();
}

TEST(store_era, is_the_same_in_all_responses_of_a_store_that_states_none)
{
    canned_server server({{http_response_text(200, page_at(9, false)),
                           http_response_text(200, no_events_at(10))}});
    store_client client(server.address());
    const auto listing = client.read_all();
    CHECK_TRUE(static_cast<bool>(listing));
    CHECK_TRUE(listing->update.position == state_revision{9});
    CHECK_FALSE(failure_of_watch(client, {9}).has_value());
    server.join();
}

TEST(store_era, is_the_known_one_in_a_response_that_states_none)
{
    canned_server server({{response_of_era(2, 200, page_at(9, false)),
                           http_response_text(200, no_events_at(10))}});
    store_client client(server.address());
    CHECK_FALSE(failure_of([&] { return client.read_all(); }).has_value());
    const auto next = client.wait_for_changes({9, second}, 0ms);
    CHECK_TRUE(static_cast<bool>(next));
    CHECK_TRUE(next->update.position == (state_revision{10, second}));
    server.join();
}
