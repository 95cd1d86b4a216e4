/// \file
/// Tests of store_client as a state_source, against a server with prepared responses.

#include "state_failures.hpp"

#include <kumquatpath/decision/directory_update.hpp>
#include <kumquatpath/decision/warm_up_allowance.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>
#include <kumquatpath/model/configured_state.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <platform/store_client.hpp>
#include <sodium.h>
#include <support/canned_server.hpp>
#include <support/documents.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::platform;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

std::string base64(const std::string& text)
{
    std::string out(
        sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(out.data(), out.size(),
                      reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    out.pop_back();
    return out;
}

std::string item_json(const std::string& key, const std::string& value, int revision)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" +
           std::to_string(revision) + R"(,"createdAt":1,"lease":0})";
}

const std::string host_entry =
    R"({"service":"x","address":"10.0.0.1:80","zone":"z","version":"v","maxConcurrency":3,)"
    R"("state":"ready","warmupLeftMs":0,"sequence":1})";
const std::string configuration_document =
    R"({"version":7,"routes":[{"name":"a","host":"1.2.3.4","prefix":"/80/","kind":"idempotent","service":"x"}]})";

} // namespace

TEST_GROUP(store_client){};

TEST(store_client, all_pages_are_read_and_the_position_is_that_of_the_first_page)
{
    canned_server server(
        {{http_response_text(200, R"({"items":[)" +
                                      item_json("op/config", configuration_document, 4) +
                                      "," + item_json("servers/i-a", host_entry, 5) +
                                      R"(],"hasMore":true,"at":9})"),
          http_response_text(200, R"({"items":[)" +
                                      item_json("servers/i-b", host_entry, 6) +
                                      R"(],"hasMore":false,"at":12})")}});
    store_client client(server.address());
    const auto state = client.read_all();
    CHECK_TRUE(static_cast<bool>(state));
    server.join();
    UNSIGNED_LONGS_EQUAL(9, state->update.position.value);
    UNSIGNED_LONGS_EQUAL(2, state->update.targets.size());
    UNSIGNED_LONGS_EQUAL(0xb, state->update.targets[1].key.value);
    UNSIGNED_LONGS_EQUAL(7, state->configuration->table->generation.value);
    UNSIGNED_LONGS_EQUAL(4, state->configuration->revision.value);
    STRCMP_EQUAL("GET /v1/kv-range?prefix=&after=servers/i-a",
                 server.requests.at(1).c_str());
}

TEST(store_client, deletions_and_unusable_entries_are_read_as_departures_and_told_apart)
{
    canned_server server({{http_response_text(
        200, R"({"events":[{"key":"servers/i-a","revision":7,"deleted":true},)" +
                 item_json("servers/i-b", "no entry", 8) + "," +
                 item_json("other/key", "x", 9) + "," +
                 item_json("servers/zz", host_entry, 10) + R"(],"at":10})")}});
    store_client client(server.address());
    const auto state = client.wait_for_changes({6}, 100ms);
    CHECK_TRUE(static_cast<bool>(state));
    server.join();
    UNSIGNED_LONGS_EQUAL(10, state->update.position.value);
    UNSIGNED_LONGS_EQUAL(2, state->update.targets.size());
    CHECK_TRUE(state->update.targets[0].is_gone);
    CHECK_FALSE(state->update.targets[0].is_unusable);
    CHECK_TRUE(state->update.targets[1].is_gone);
    CHECK_TRUE(state->update.targets[1].is_unusable);
    UNSIGNED_LONGS_EQUAL(8, state->update.targets[1].revision.value);
    CHECK_FALSE(state->configuration.has_value());
}

// A key at the end of a page that has a meaning in a query, such as "&", used to end the
// listing there, each time.
TEST(store_client, a_listing_goes_on_after_any_key)
{
    canned_server server(
        {{http_response_text(200, R"({"items":[)" +
                                      item_json("servers/a b&c=%\\n", "odd", 5) +
                                      R"(],"hasMore":true,"at":9})"),
          http_response_text(200, R"({"items":[)" +
                                      item_json("servers/i-b", host_entry, 6) +
                                      R"(],"hasMore":false,"at":9})")}});
    store_client client(server.address());
    const auto state = client.read_all();
    CHECK_TRUE(static_cast<bool>(state));
    server.join();
    UNSIGNED_LONGS_EQUAL(1, state->update.targets.size());
    STRCMP_EQUAL("GET /v1/kv-range?prefix=&after=servers/a%20b%26c%3D%25%0A",
                 server.requests.at(1).c_str());
}

// Entries that other writers may leave among those of the hosts.
TEST(store_client, an_odd_entry_is_unusable_and_the_others_hold)
{
    constexpr std::size_t levels = 100'000;
    const auto with = [](const std::string& field, const std::string& value)
    {
        const std::size_t start = host_entry.find(field) + field.size();
        const std::size_t end = host_entry.find_first_of(",}", start);
        return host_entry.substr(0, start) + value + host_entry.substr(end);
    };
    std::string nested_objects;
    for (std::size_t i = 0; i < levels; ++i)
    {
        nested_objects += R"({"a":)";
    }
    for (const std::string& odd :
         {std::string(levels, '['), std::string(levels, '[') + std::string(levels, ']'),
          nested_objects, with(R"("zone":)", std::string(levels, '[')),
          with(R"("maxConcurrency":)", "1e999"),
          with(R"("maxConcurrency":)", "4294967295"),
          with(R"("maxConcurrency":)", std::string(400, '9')),
          with(R"("warmupLeftMs":)", "18446744073709551616"),
          with(R"("warmupLeftMs":)", "-1"), with(R"("sequence":)", "1e400"),
          with(R"("sequence":)", "18446744073709551616"),
          with(R"("address":)", R"("10.0.0.1:70000")"),
          with(R"("address":)", R"("10.0.0.1:0")"),
          with(R"("address":)", R"("10.0.0.1:-1")"),
          with(R"("address":)", R"("10.0.0.1:99999999999999999999")"),
          with(R"("address":)", R"("10.0.0.256:80")"), std::string(1000, '\0')})
    {
        canned_server server(
            {{http_response_text(200, R"({"items":[)" + item_json("servers/i-a", odd, 5) +
                                          "," + item_json("servers/i-b", host_entry, 6) +
                                          R"(],"hasMore":false,"at":9})")}});
        store_client client(server.address());
        const auto state = client.read_all();
        CHECK_TRUE_TEXT(static_cast<bool>(state), odd.substr(0, 200).c_str());
        server.join();
        UNSIGNED_LONGS_EQUAL(2, state->update.targets.size());
        CHECK_TRUE_TEXT(state->update.targets[0].is_unusable, odd.substr(0, 200).c_str());
        CHECK_FALSE(state->update.targets[1].is_gone);
    }
}

TEST(store_client, an_evacuation_of_a_zone_is_read_and_its_deletion_withdraws_it)
{
    canned_server server({{http_response_text(
        200,
        R"({"events":[)" + item_json("op/evacuate/north", "{}", 7) + "," +
            item_json("op/evacuate/south", "no JSON", 8) +
            R"(,{"key":"op/evacuate/north","revision":9,"deleted":true}],"at":9})")}});
    store_client client(server.address());
    const auto state = client.wait_for_changes({6}, 100ms);
    CHECK_TRUE(static_cast<bool>(state));
    server.join();
    const auto& evacuations = state->update.evacuations;
    UNSIGNED_LONGS_EQUAL(3, evacuations.size());
    CHECK_TRUE(evacuations[0].data_centre == id_of<data_centre_id>("north"));
    STRCMP_EQUAL("north", evacuations[0].name.c_str());
    CHECK_FALSE(evacuations[0].is_withdrawn);
    CHECK_FALSE_TEXT(evacuations[1].is_withdrawn, "the value does not matter");
    UNSIGNED_LONGS_EQUAL(9, evacuations[2].revision.value);
    CHECK_TRUE(evacuations[2].is_withdrawn);
}

TEST(store_client, an_evacuation_whose_key_names_no_zone_changes_nothing)
{
    canned_server server({{http_response_text(
        200, R"({"items":[)" + item_json("op/evacuate/", "{}", 4) + "," +
                 item_json("op/evacuate/" + std::string(200, 'z'), "{}", 5) + "," +
                 item_json("op/evacuate/a b", "{}", 6) + "," +
                 item_json("op/evacuate/a/b", "{}", 7) + "," +
                 item_json("op/evacuation", "{}", 8) + "," +
                 item_json("servers/i-a", host_entry, 9) +
                 R"(],"hasMore":false,"at":9})")}});
    store_client client(server.address());
    const auto state = client.read_all();
    CHECK_TRUE(static_cast<bool>(state));
    UNSIGNED_LONGS_EQUAL(0, state->update.evacuations.size());
    UNSIGNED_LONGS_EQUAL(1, state->update.targets.size());
}

TEST(store_client, a_drained_data_centre_of_a_native_configuration_is_an_evacuation)
{
    const auto stored = [](const std::string& state, int revision)
    {
        boost::json::value document = small_document();
        at(document, "data_centres", "a", "state") = state;
        const auto text = write_envelope(
            {.generation = {static_cast<std::uint64_t>(revision)}, .document = document});
        CHECK_TRUE(static_cast<bool>(text));
        return R"({"events":[)" +
               item_json(std::string(configuration_key), *text, revision) + R"(],"at":)" +
               std::to_string(revision) + "}";
    };
    canned_server server({{http_response_text(200, stored("draining", 7)),
                           http_response_text(200, stored("active", 8))}});
    store_client client(server.address(), configuration_origin::native);
    for (const bool is_withdrawn : {false, true})
    {
        const auto state = client.wait_for_changes({6}, 100ms);
        CHECK_TRUE(static_cast<bool>(state));
        // A configuration is whole, so an evacuation that it lacks is withdrawn.
        CHECK_TRUE(state->update.is_whole);
        const auto& evacuations = state->update.evacuations;
        UNSIGNED_LONGS_EQUAL(is_withdrawn ? 0 : 1, evacuations.size());
        for (const evacuation_change& each : evacuations)
        {
            STRCMP_EQUAL("a", each.name.c_str());
            CHECK_FALSE(each.is_withdrawn);
        }
    }
}

TEST(store_client, an_unusable_configuration_is_skipped)
{
    canned_server server({{http_response_text(
        200, R"({"events":[)" + item_json("op/config", "{}", 8) + R"(],"at":8})")}});
    store_client client(server.address());
    const auto state = client.wait_for_changes({6}, 100ms);
    CHECK_TRUE(static_cast<bool>(state));
    CHECK_FALSE(state->configuration.has_value());
}

TEST(store_client, changes_are_complete_from_the_position_that_was_asked_for)
{
    canned_server server({{http_response_text(200, R"({"events":[],"at":8})")}});
    store_client client(server.address());
    const auto state = client.wait_for_changes({6}, 100ms);
    CHECK_TRUE(static_cast<bool>(state));
    CHECK_FALSE(state->update.is_whole);
    UNSIGNED_LONGS_EQUAL(6, state->update.complete_from.value);
}

// A reader that had just started did not know the targets of the configuration before, so
// those that the new one lacked stayed in use.
TEST(store_client, a_native_configuration_replaces_all_targets_for_a_new_reader_too)
{
    const std::string text = *write_envelope(
        *next_envelope(nullptr, {.document = small_document()}, wall_time()));
    canned_server server({{http_response_text(
        200, R"({"events":[)" + item_json("kumquatpath/configuration", text, 8) +
                 R"(],"at":9})")}});
    store_client client(server.address(), configuration_origin::native);
    const auto state = client.wait_for_changes({6}, 100ms);
    CHECK_TRUE(static_cast<bool>(state));
    CHECK_TRUE(state->update.is_whole);
    UNSIGNED_LONGS_EQUAL(9, state->update.position.value);
    UNSIGNED_LONGS_EQUAL(2, state->update.targets.size());
}

TEST(store_client, a_target_that_a_native_configuration_added_warms_up_with_its_limit)
{
    boost::json::value document = small_document();
    at(document, "services", "s", "warm_up_s") = 600;
    at(document, "services", "s", "warm_up_requests_per_second") = 5;
    const auto submitted_at = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now() - 100s);
    const auto first = next_envelope(nullptr, {.document = document}, submitted_at);
    at(document, "pools", "p", "targets", "t3") =
        boost::json::object{{"address", "127.0.0.1:9003"}, {"data_centre", "a"}};
    const auto second = next_envelope(&*first, {.document = document}, submitted_at);
    canned_server server({{http_response_text(
        200, R"({"events":[)" +
                 item_json("kumquatpath/configuration", *write_envelope(*second), 8) +
                 R"(],"at":8})")}});
    store_client client(server.address(), configuration_origin::native);
    const auto state = client.wait_for_changes({6}, 100ms);
    CHECK_TRUE(static_cast<bool>(state));

    const warm_up_policy* const policy =
        find_warm_up_policy(*state->configuration->table, id_of<service_id>("s"));
    target_directory directory;
    const time_point now{1h};
    std::size_t limited_targets = 0;
    for (const target_change& each : state->update.targets)
    {
        const bool is_added = each.key == target_key_of("t3");
        CHECK_TRUE(apply_change(directory, each, now));
        const known_target& known =
            directory.targets[directory.by_entry.at(each.key.value)];
        CHECK_TRUE(has_warm_up_limit(known, policy, now) == is_added);
        CHECK_TRUE(has_warm_up_limit(known, policy, now + 450s) == is_added);
        CHECK_FALSE(has_warm_up_limit(known, policy, now + 500s));
        limited_targets += is_added ? 1U : 0U;
    }
    UNSIGNED_LONGS_EQUAL(1, limited_targets);
}

TEST(store_client, a_listing_with_an_unreadable_native_configuration_removes_no_target)
{
    canned_server server({{http_response_text(
        200, R"({"items":[)" + item_json("kumquatpath/configuration", "{}", 8) +
                 R"(],"hasMore":false,"at":9})")}});
    store_client client(server.address(), configuration_origin::native);
    const auto state = client.read_all();
    CHECK_TRUE(static_cast<bool>(state));
    CHECK_FALSE(state->update.is_whole);
    CHECK_TRUE(state->update.complete_from == unknown_completeness);
}

TEST(store_client, each_failure_is_reported_with_its_cause)
{
    canned_server server(
        {{http_response_text(410, "{}"), http_response_text(429, "{}"),
          http_response_text(503, "{}"), http_response_text(200, "no json"),
          http_response_text(200, "{}")}});
    store_client client(server.address());
    const auto call = [&]
    {
        return client.wait_for_changes({6}, 100ms);
    };
    CHECK_TRUE(failure_of(call) == state_failure::history_lost);
    CHECK_TRUE(failure_of(call) == state_failure::refused);
    CHECK_TRUE(failure_of(call) == state_failure::refused);
    CHECK_TRUE(failure_of(call) == state_failure::malformed);
    CHECK_TRUE(failure_of(call) == state_failure::malformed);
}

TEST(store_client, a_refused_connection_is_reported_as_unreachable)
{
    store_client client({.address = 0x7f000001, .port = 1});
    CHECK_TRUE(failure_of([&] { return client.read_all(); }) ==
               state_failure::unreachable);
}

TEST(store_client, a_server_that_never_responds_is_given_up_after_the_timeout)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor silent_server(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    store_client client(
        {.address = 0x7f000001, .port = silent_server.local_endpoint().port()});
    const auto start = std::chrono::steady_clock::now();
    CHECK_TRUE(failure_of([&] { return client.wait_for_changes({6}, 100ms); }) ==
               state_failure::unreachable);
    CHECK_TRUE(std::chrono::steady_clock::now() - start < 3s);
}

TEST(store_client, a_call_in_progress_can_be_cancelled)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor silent_server(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    store_client client(
        {.address = 0x7f000001, .port = silent_server.local_endpoint().port()});
    std::jthread canceller(
        [&]
        {
            std::this_thread::sleep_for(50ms);
            client.cancel();
        });
    const auto start = std::chrono::steady_clock::now();
    CHECK_TRUE(failure_of([&] { return client.wait_for_changes({6}, 20s); }).has_value());
    CHECK_TRUE(std::chrono::steady_clock::now() - start < 3s);
}

// Guards against another writer's entry that counts as that of a running host because its
// id ends with the same digits.
TEST(store_client, entries_under_different_ids_are_told_apart_although_they_share_digits)
{
    canned_server server({{http_response_text(
        200, R"({"items":[)" + item_json("servers/i-a", host_entry, 5) + "," +
                 item_json("servers/saved-i-a", "odd", 6) +
                 R"(],"hasMore":false,"at":9})")}});
    store_client client(server.address());
    const auto state = client.read_all();
    CHECK_TRUE(static_cast<bool>(state));
    server.join();
    target_directory directory;
    const time_point now{100s};
    apply_update(directory, state->update, now);
    const auto& targets = state->update.targets;
    CHECK_TRUE(targets.at(0).key == targets.at(1).key);
    CHECK_TRUE(targets.at(0).entry != targets.at(1).entry);
    CHECK_TRUE(takes_new_flows(
        directory.targets[directory.by_entry.at(targets.at(0).entry.value)], now));
}

// A watch returns every version of a configuration, so a storm of large ones is too long
// for one response, and stays so until the history ends.
TEST(store_client, changes_that_are_too_long_are_told_from_a_store_that_does_not_respond)
{
    const std::string events(2'100'000, ' ');
    canned_server server(
        {{http_response_text(200, R"({"events":[)" + events + R"(],"at":9})")},
         {http_response_text(200, R"({"items":[)" + events + R"(],"at":9})")},
         {"HTTP/1.1 200 X\r\nContent-Length: 40\r\n\r\n{\"events\":[]}"},
         {""}});
    store_client client(server.address());
    CHECK_TRUE(failure_of([&] { return client.wait_for_changes({6}, 0ms); }) ==
               state_failure::too_long);
    CHECK_FALSE(failure_of([&] { return client.read_all(); }).has_value());
    CHECK_TRUE(failure_of([&] { return client.wait_for_changes({6}, 0ms); }) ==
               state_failure::incomplete);
    CHECK_TRUE(failure_of([&] { return client.wait_for_changes({6}, 0ms); }) ==
               state_failure::unreachable);
    server.join();
}

TEST(store_client, the_longest_value_fits_into_a_response_to_a_watch)
{
    const std::string value(1'048'576, 'x');
    canned_server server({{http_response_text(
        200, R"({"events":[)" + item_json("other/key", value, 8) + R"(],"at":9})")}});
    store_client client(server.address());
    CHECK_FALSE(failure_of([&] { return client.wait_for_changes({6}, 0ms); }));
    server.join();
}
