/// \file
/// Tests of the parsers for the platform's records, with valid and invalid records.

#include <platform/state_records.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::platform;
using namespace std::chrono_literals;

TEST_GROUP(state_records)
{
    const std::string host_entry =
        R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nbo-a","version":"v1",)"
        R"("maxConcurrency":3,"state":"ready","warmupLeftMs":250,"sequence":4,"born":17})";

    static std::string with_replacement(std::string text, const std::string& from,
                                        const std::string& to)
    {
        return text.replace(text.find(from), from.size(), to);
    }

    bool is_usable(const std::string& text)
    {
        return static_cast<bool>(parse_host_entry({1}, text));
    }
};

TEST(state_records, a_host_entry_is_read)
{
    const auto record = parse_host_entry({7}, host_entry);
    CHECK_TRUE(static_cast<bool>(record));
    UNSIGNED_LONGS_EQUAL(7, record->key.value);
    CHECK_TRUE(record->service == id_of<service_id>("huvo11a"));
    CHECK_TRUE(record->data_centre == id_of<data_centre_id>("nbo-a"));
    UNSIGNED_LONGS_EQUAL(8080, record->address.port);
    UNSIGNED_LONGS_EQUAL(3, record->slots);
    CHECK_FALSE(record->is_draining);
    CHECK_TRUE(record->warm_up_left == 250ms);
    UNSIGNED_LONGS_EQUAL(17, record->incarnation);
}

TEST(state_records, a_draining_host_is_recognised)
{
    CHECK_TRUE(parse_host_entry({7}, with_replacement(host_entry, "ready", "draining"))
                   ->is_draining);
}

TEST(state_records, an_entry_with_a_missing_or_mistyped_field_is_rejected)
{
    for (const char* const field : {"service", "address", "zone", "maxConcurrency",
                                    "version", "state", "warmupLeftMs", "sequence"})
    {
        CHECK_FALSE(is_usable(with_replacement(host_entry, field, "other")));
    }
    CHECK_FALSE(
        is_usable(with_replacement(host_entry, R"("zone":"nbo-a")", R"("zone":5)")));
    CHECK_FALSE(is_usable(with_replacement(host_entry, R"("maxConcurrency":3)",
                                           R"("maxConcurrency":"3")")));
    CHECK_FALSE(is_usable(
        with_replacement(host_entry, R"("maxConcurrency":3)", R"("maxConcurrency":-3)")));
    CHECK_FALSE(is_usable(with_replacement(host_entry, R"("born":17)", R"("born":1.5)")));
    CHECK_FALSE(
        is_usable(with_replacement(host_entry, R"("version":"v1")", R"("version":1)")));
    CHECK_FALSE(is_usable(with_replacement(host_entry, "10.128.0.9:8080", "10.128.0.9")));
    CHECK_FALSE(is_usable(with_replacement(host_entry, "\"ready\"", "\"resting\"")));
}

TEST(state_records, bytes_that_are_not_an_entry_are_rejected)
{
    for (const char* const text : {"", "[]", "7", "{", "\xff\xfe", "null"})
    {
        CHECK_FALSE(is_usable(text));
    }
}

TEST(state_records, a_host_id_is_parsed_from_its_hexadecimal_digits)
{
    UNSIGNED_LONGLONGS_EQUAL(0x7f3a91c2, parse_host_id("i-7f3a91c2")->value);
    CHECK_FALSE(static_cast<bool>(parse_host_id("i-")));
    CHECK_FALSE(static_cast<bool>(parse_host_id("i-xyz")));
    CHECK_FALSE(static_cast<bool>(parse_host_id("i-00112233445566778")));
}

TEST(state_records, a_configuration_is_read_with_all_its_routes)
{
    const auto table = parse_platform_configuration(
        R"({"version":7,"new":1,"routes":[)"
        R"({"name":"a","host":"198.18.0.1","prefix":"/8443/","kind":"idempotent",)"
        R"("timeoutMs":1500,"latencyGoalMs":250,"priority":2,)"
        R"("backends":[{"service":"x","weight":90},{"service":"y","weight":0}]},)"
        R"({"name":"b","host":"198.18.0.1","prefix":"/8080/","kind":"non_idempotent",)"
        R"("service":"x"}],)"
        R"("services":[{"name":"x","warmupS":2.5,"warmupPerS":8.0},)"
        R"({"name":"y","warmupS":-1,"warmupPerS":1e300},{"name":7},8]})");
    CHECK_TRUE(static_cast<bool>(table));
    UNSIGNED_LONGS_EQUAL(7, (*table)->generation.value);
    UNSIGNED_LONGS_EQUAL(2, (*table)->routes.size());
    const route* const first = find_route(**table, {.address = 0xc6120001, .port = 8443});
    CHECK_TRUE(first != nullptr);
    CHECK_TRUE(first->latency_goal == 250ms);
    CHECK_TRUE(first->timeout == 1500ms);
    UNSIGNED_LONGS_EQUAL(1, first->services.size());
    const route* const second =
        find_route(**table, {.address = 0xc6120001, .port = 8080});
    CHECK_TRUE(second != nullptr);
    CHECK_TRUE_TEXT(second->latency_goal == 0ms, "the route has no latency goal");
    CHECK_TRUE((policy_of(**table, *first, {}) ==
                traffic_policy{.priority = 2, .is_repeatable = true}));
    CHECK_TRUE((policy_of(**table, *second, {}) == traffic_policy{}));
    UNSIGNED_LONGS_EQUAL(1, (*table)->warm_ups.size());
    const warm_up_policy& warm_up = (*table)->warm_ups.at(id_of<service_id>("x"));
    CHECK_TRUE(warm_up.duration == 2500ms);
    DOUBLES_EQUAL(8, warm_up.flows_per_second, 0);
}

TEST(state_records, a_configuration_names_the_services_of_its_routes_and_of_its_list)
{
    const auto table = parse_platform_configuration(
        R"({"version":7,"routes":[{"name":"a","host":"198.18.0.1","prefix":"/8443/",)"
        R"("backends":[{"service":"x","weight":90},{"service":"y","weight":10}]}],)"
        R"("services":[{"name":"y"},{"name":"z"},{"name":7},8]})");
    CHECK_TRUE(static_cast<bool>(table));
    CHECK_TRUE(
        ((*table)->services == service_set{id_of<service_id>("x"), id_of<service_id>("y"),
                                           id_of<service_id>("z")}));
}

TEST(state_records, a_configuration_with_an_invalid_part_is_rejected_as_a_whole)
{
    for (
        const char* const text :
        {"", "{}", R"({"version":1})", R"({"version":"1","routes":[]})",
         R"({"version":1,"routes":[5]})",
         R"({"version":1,"routes":[{"name":"a","host":"h","prefix":"/1/","kind":"k","service":"x"}]})",
         R"({"version":1,"routes":[{"name":"a","host":"1.2.3.4","prefix":"80","kind":"k","service":"x"}]})"})
    {
        CHECK_FALSE(static_cast<bool>(parse_platform_configuration(text)));
        POINTERS_EQUAL(nullptr, read_platform_configuration(text, {1}).get());
    }
}
