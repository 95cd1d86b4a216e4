/// \file
/// Tests review_configuration(): each rule with a document that it warns of, and with the
/// nearest document that it accepts.

#include "support/documents.hpp"

#include <kumquatpath/model/configuration_review.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using kind = configuration_warning_kind;

namespace
{

/// Adds the pool "q" with a target.
void add_pool(boost::json::value& document)
{
    at(document, "pools", "q", "targets", "t3") =
        boost::json::object{{"address", "127.0.0.1:9003"}, {"data_centre", "a"}};
}

/// Adds the listener "m", which leads to \p service.
void add_listener(boost::json::value& document, const char* service)
{
    at(document, "listeners", "m") = boost::json::object{
        {"address", "127.0.0.1:7002"}, {"kind", "stream"}, {"service", service}};
}

/// Adds the service "u" with a pool and a listener of its own, and without limits.
void add_service(boost::json::value& document)
{
    add_pool(document);
    at(document, "services", "u", "pool") = "q";
    add_listener(document, "u");
}

/// Adds the class "d".
void add_class(boost::json::value& document, int deadline_ms)
{
    at(document, "classes", "d") =
        boost::json::object{{"id", 2}, {"deadline_ms", deadline_ms}};
}

/// A change of small_document() that makes one rule warn.
struct rule_example
{
    configuration_warning_kind kind;
    void (*change)(boost::json::value& document);
    /// The JSON pointer of the only warning.
    const char* pointer;
};

constexpr std::array examples = {
    rule_example{kind::unused_data_centre,
                 [](boost::json::value& document)
                 { at(document, "data_centres", "c", "region") = "r"; },
                 "/data_centres/c"},
    rule_example{kind::unused_pool, add_pool, "/pools/q"},
    rule_example{kind::unused_service,
                 [](boost::json::value& document)
                 {
                     add_pool(document);
                     at(document, "services", "u", "pool") = "q";
                 },
                 "/services/u"},
    rule_example{kind::shared_pool,
                 [](boost::json::value& document)
                 {
                     at(document, "services", "u", "pool") = "p";
                     add_listener(document, "u");
                 },
                 "/services/u/pool"},
    rule_example{kind::instance_without_effect,
                 [](boost::json::value& document)
                 { at(document, "instances", "i", "state") = "active"; },
                 "/instances/i"},
    rule_example{kind::unusable_address,
                 [](boost::json::value& document)
                 { at(document, "listeners", "l", "address") = "0.0.0.0:7001"; },
                 "/listeners/l/address"},
    rule_example{kind::partial_slot,
                 [](boost::json::value& document)
                 { at(document, "pools", "p", "targets", "t1", "connections") = 3000; },
                 "/pools/p/targets/t1/connections"},
    rule_example{kind::limit_without_effect,
                 [](boost::json::value& document)
                 {
                     at(document, "services", "s", "requests_per_second") = 100;
                     at(document, "tenants", "n", "requests_per_second") = 101;
                 },
                 "/tenants/n/requests_per_second"},
    rule_example{kind::goal_above_deadlines,
                 [](boost::json::value& document)
                 { at(document, "services", "s", "latency_goal_ms") = 2001; },
                 "/services/s/latency_goal_ms"},
    rule_example{kind::deadline_below_goals,
                 [](boost::json::value& document)
                 {
                     at(document, "services", "s", "latency_goal_ms") = 500;
                     add_class(document, 499);
                 },
                 "/classes/d/deadline_ms"},
    rule_example{kind::lifetime_below_goal,
                 [](boost::json::value& document)
                 {
                     add_service(document);
                     add_class(document, 2001);
                     at(document, "services", "s", "flow_lifetime_s") = 2;
                     at(document, "services", "s", "latency_goal_ms") = 2001;
                 },
                 "/services/s/flow_lifetime_s"},
    rule_example{kind::lifetime_below_deadlines,
                 [](boost::json::value& document)
                 { at(document, "services", "s", "flow_lifetime_s") = 1; },
                 "/services/s/flow_lifetime_s"},
    rule_example{kind::warm_up_limit_without_time,
                 [](boost::json::value& document)
                 { at(document, "services", "s", "warm_up_requests_per_second") = 5; },
                 "/services/s/warm_up_requests_per_second"},
    rule_example{kind::warm_up_limit_without_effect,
                 [](boost::json::value& document)
                 {
                     at(document, "services", "s", "requests_per_second") = 100;
                     at(document, "services", "s", "warm_up_s") = 30;
                     at(document, "services", "s", "warm_up_requests_per_second") = 101;
                 },
                 "/services/s/warm_up_requests_per_second"},
};

configuration parse(const boost::json::value& document)
{
    const auto parsed = check_document(boost::json::serialize(document));
    CHECK_TRUE(parsed.has_value());
    return *parsed;
}

/// Returns one line "kind pointer" for each warning.
std::string format_warnings(const warning_list& warnings)
{
    std::string lines;
    for (const configuration_warning& each : warnings)
    {
        lines += std::string(to_string(each.kind)) + ' ' + each.pointer + '\n';
    }
    return lines;
}

std::string warnings_in(const boost::json::value& document)
{
    return format_warnings(review_configuration(parse(document)));
}

/// Returns a valid document without warnings of the size that DEVELOPERS.md names.
boost::json::value large_document()
{
    constexpr int pools = 490;
    constexpr int targets = 5400;
    boost::json::value document = small_document();
    for (const char* const section : {"pools", "services", "listeners"})
    {
        at(document, section) = boost::json::object();
    }
    for (int i = 0; i < targets; ++i)
    {
        const std::string pool = "pool-" + std::to_string(i % pools);
        const std::string target = "target-" + std::to_string(i);
        at(document, "pools", pool.c_str(), "targets", target.c_str()) =
            boost::json::object{{"address", "127.1." + std::to_string(i / 250) + '.' +
                                                std::to_string(i % 250) + ":9000"},
                                {"data_centre", i / pools % 2 == 0 ? "a" : "b"}};
    }
    for (int i = 0; i < pools; ++i)
    {
        const std::string number = std::to_string(i);
        at(document, "services", ("service-" + number).c_str(), "pool") =
            "pool-" + number;
        at(document, "listeners", ("listener-" + number).c_str()) =
            boost::json::object{{"address", "127.2.0.1:" + std::to_string(7000 + i)},
                                {"kind", "datagram"},
                                {"service", "service-" + number}};
    }
    return document;
}

} // namespace

TEST_GROUP(configuration_review)
{
    boost::json::value document = small_document();
};

TEST(configuration_review, a_document_in_which_everything_has_an_effect_has_no_warnings)
{
    STRCMP_EQUAL("", warnings_in(document).c_str());
}

TEST(configuration_review, each_rule_has_a_document_that_triggers_it_alone)
{
    for (const review_rule& rule : review_rules())
    {
        const auto* const example =
            std::ranges::find(examples, rule.kind, &rule_example::kind);
        CHECK_TRUE_TEXT(example != examples.end(), std::string(rule.name).c_str());
        boost::json::value changed = small_document();
        example->change(changed);

        const std::string expected =
            std::string(rule.name) + ' ' + example->pointer + '\n';
        STRCMP_EQUAL(expected.c_str(), warnings_in(changed).c_str());
    }
}

TEST(configuration_review, each_warning_has_a_description_and_a_remedy_of_one_sentence)
{
    for (const rule_example& example : examples)
    {
        boost::json::value changed = small_document();
        example.change(changed);
        for (const configuration_warning& each : review_configuration(parse(changed)))
        {
            CHECK_TRUE(each.description.ends_with('.'));
            CHECK_TRUE(remedy(each.kind).ends_with('.'));
            CHECK_TRUE(remedy(each.kind).find(". ") == std::string_view::npos);
        }
    }
}

TEST(configuration_review, the_valid_sample_documents_have_only_the_warnings_they_show)
{
    const std::map<std::string, std::string> expected = {
        {"nairobi.json", ""},
        {"reykjanes.json", ""},
        {"three-warnings.json", "unused_pool /pools/mapstore-hosts\n"
                                "limit_without_effect "
                                "/tenants/rangers/requests_per_second\n"
                                "goal_above_deadlines "
                                "/services/catalogue/latency_goal_ms\n"}};
    std::map<std::string, std::string> found;
    for (const auto& file : std::filesystem::directory_iterator(KUMQUATPATH_SAMPLES))
    {
        const std::string name = file.path().filename().string();
        if (file.path().extension() != ".json")
        {
            continue;
        }
        if (const auto parsed = check_document(read_sample(name)))
        {
            found[name] = format_warnings(review_configuration(*parsed));
        }
    }

    CHECK_TRUE(found == expected);
}

TEST(configuration_review, a_data_centre_is_used_by_the_targets_of_any_pool)
{
    at(document, "data_centres", "c", "region") = "r";
    at(document, "pools", "q", "targets", "t3") =
        boost::json::object{{"address", "127.0.0.1:9003"}, {"data_centre", "c"}};

    STRCMP_EQUAL("unused_pool /pools/q\n", warnings_in(document).c_str());
}

TEST(configuration_review, every_service_after_the_first_of_a_shared_pool_is_named)
{
    for (const char* const name : {"u", "v"})
    {
        at(document, "services", name, "pool") = "p";
    }

    STRCMP_EQUAL("unused_service /services/u\n"
                 "unused_service /services/v\n"
                 "shared_pool /services/u/pool\n"
                 "shared_pool /services/v/pool\n",
                 warnings_in(document).c_str());
}

TEST(configuration_review, a_draining_instance_is_no_entry_without_effect)
{
    at(document, "instances", "i", "state") = "draining";
    STRCMP_EQUAL("", warnings_in(document).c_str());

    at(document, "instances", "j") = boost::json::object();
    STRCMP_EQUAL("instance_without_effect /instances/j\n", warnings_in(document).c_str());
}

TEST(configuration_review, addresses_of_no_host_are_found_in_targets_and_listeners)
{
    at(document, "pools", "p", "targets", "t1", "address") = "224.0.0.1:9000";
    at(document, "pools", "p", "targets", "t2", "address") = "223.255.255.255:9000";
    at(document, "listeners", "l", "address") = "255.255.255.255:7001";

    STRCMP_EQUAL("unusable_address /pools/p/targets/t1/address\n"
                 "unusable_address /listeners/l/address\n",
                 warnings_in(document).c_str());
}

TEST(configuration_review, connections_below_one_slot_have_the_effect_of_one)
{
    at(document, "pools", "p", "targets", "t1", "connections") = 1999;
    at(document, "pools", "p", "targets", "t2", "connections") = 2000;
    const warning_list warnings = review_configuration(parse(document));

    LONGS_EQUAL(1, warnings.size());
    STRCMP_EQUAL("1999 connections have the same effect as 2000.",
                 warnings[0].description.c_str());
}

TEST(configuration_review, a_limit_is_compared_with_those_of_all_listeners_together)
{
    add_listener(document, "s");
    at(document, "services", "s", "requests_per_second") = 100;
    at(document, "classes", "c", "requests_per_second") = 200;
    STRCMP_EQUAL("", warnings_in(document).c_str());

    at(document, "classes", "c", "requests_per_second") = 201;
    STRCMP_EQUAL("limit_without_effect /classes/c/requests_per_second\n",
                 warnings_in(document).c_str());
}

TEST(configuration_review, a_limit_can_take_effect_if_one_listener_has_none)
{
    add_service(document);
    at(document, "services", "s", "requests_per_second") = 1;
    at(document, "tenants", "n", "requests_per_second") = 1000;

    STRCMP_EQUAL("", warnings_in(document).c_str());
}

TEST(configuration_review, a_warm_up_limit_is_compared_with_all_listeners_of_its_service)
{
    at(document, "services", "s", "warm_up_s") = 30;
    at(document, "services", "s", "warm_up_requests_per_second") = 200;
    STRCMP_EQUAL("", warnings_in(document).c_str());

    at(document, "services", "s", "requests_per_second") = 100;
    add_listener(document, "s");
    STRCMP_EQUAL("", warnings_in(document).c_str());

    at(document, "services", "s", "warm_up_requests_per_second") = 201;
    STRCMP_EQUAL("warm_up_limit_without_effect /services/s/warm_up_requests_per_second\n",
                 warnings_in(document).c_str());
}

TEST(configuration_review, a_goal_that_one_class_allows_is_no_contradiction)
{
    at(document, "services", "s", "latency_goal_ms") = 2000;
    STRCMP_EQUAL("", warnings_in(document).c_str());

    at(document, "services", "s", "latency_goal_ms") = 3000;
    add_class(document, 3000);
    STRCMP_EQUAL("deadline_below_goals /classes/c/deadline_ms\n",
                 warnings_in(document).c_str());
}

TEST(configuration_review, a_deadline_is_no_contradiction_if_one_service_has_no_goal)
{
    add_service(document);
    at(document, "services", "s", "latency_goal_ms") = 500;
    add_class(document, 1);

    STRCMP_EQUAL("", warnings_in(document).c_str());
}

TEST(configuration_review, without_classes_there_is_no_deadline_to_contradict)
{
    at(document, "classes") = boost::json::object();
    at(document, "services", "s", "flow_lifetime_s") = 1;
    at(document, "services", "s", "latency_goal_ms") = 1000;

    STRCMP_EQUAL("", warnings_in(document).c_str());
}

TEST(configuration_review, a_document_of_the_target_size_is_reviewed_within_a_second)
{
    const std::string text = boost::json::serialize(large_document());
    const auto start = std::chrono::steady_clock::now();
    const auto parsed = check_document(text);
    CHECK_TRUE(parsed.has_value());
    const warning_list warnings = review_configuration(*parsed);
    const auto elapsed = std::chrono::steady_clock::now() - start;

    STRCMP_EQUAL("", format_warnings(warnings).c_str());
    LONGS_EQUAL(490, parsed->listeners.size());
    CHECK_TRUE(elapsed < std::chrono::seconds(1));
}
