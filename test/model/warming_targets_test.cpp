/// \file
/// Tests of the warm-up of targets that the configuration lists: its keys, who warms up
/// and until when, and the records and policies that instances derive from it.

#include "support/documents.hpp"

#include <kumquatpath/model/configuration_envelope.hpp>
#include <kumquatpath/model/configured_state.hpp>
#include <kumquatpath/model/document_difference.hpp>

#include <boost/json/serialize.hpp>

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(warming_targets)
{
    boost::json::value document = small_document();
    wall_time now{1'000'000s};
    std::optional<configuration_envelope> latest;

    void setup() override
    {
        at(document, "services", "s", "warm_up_s") = 30;
        at(document, "services", "s", "warm_up_requests_per_second") = 5;
        submit();
    }

    void submit()
    {
        auto next = next_envelope(
            latest ? &*latest : nullptr,
            {.document = document, .submission = "x", .may_cut_flows = true}, now);
        CHECK_TRUE(next.has_value());
        latest = std::move(*next);
    }

    void set_state(const char* target, const char* state)
    {
        at(document, "pools", "p", "targets", target, "state") = state;
    }

    void add_target(const char* name, const char* address)
    {
        at(document, "pools", "p", "targets", name) =
            boost::json::object{{"address", address}, {"data_centre", "a"}};
    }

    /// Returns the warm-up of \p name that is left for an instance that reads the stored
    /// text at \p read_at.
    std::chrono::milliseconds left_of(const char* name, wall_time read_at)
    {
        const auto text = write_envelope(*latest);
        CHECK_TRUE(text.has_value());
        const auto config = parse_stored_configuration(*text);
        CHECK_TRUE(config.has_value());
        for (const target_record& each : target_records_of(*config, read_at))
        {
            if (each.key == target_key_of(name))
            {
                return each.warm_up_left;
            }
        }
        FAIL("no record of the target");
        return {};
    }
};

TEST(warming_targets, the_keys_of_a_service_become_its_policy)
{
    const routing_table table = routing_table_of(latest->checked_configuration);
    const auto policy = table.warm_ups.find(id_of<service_id>("s"));

    CHECK_TRUE(policy != table.warm_ups.end());
    LONGS_EQUAL(30'000, policy->second.duration.count());
    DOUBLES_EQUAL(5, policy->second.flows_per_second, 0);
}

TEST(warming_targets, a_service_without_the_keys_has_no_policy)
{
    document = small_document();
    submit();

    CHECK_TRUE(routing_table_of(latest->checked_configuration).warm_ups.empty());
}

TEST(warming_targets, the_keys_are_optional_and_bounded)
{
    const auto is_valid = [&](const char* key, int number)
    {
        boost::json::value changed = small_document();
        at(changed, "services", "s", key) = number;
        return check_document(boost::json::serialize(changed)).has_value();
    };

    CHECK_TRUE(is_valid("warm_up_s", 0));
    CHECK_TRUE(is_valid("warm_up_s", 3600));
    CHECK_FALSE(is_valid("warm_up_s", 3601));
    CHECK_TRUE(is_valid("warm_up_requests_per_second", 1'000'000));
    CHECK_FALSE(is_valid("warm_up_requests_per_second", 1'000'001));
}

TEST(warming_targets, a_changed_key_is_a_change_of_its_service)
{
    const auto changes = changes_between(small_document(), document);

    LONGS_EQUAL(1, changes.size());
    STRCMP_EQUAL("/services/s", to_pointer(changes[0].path).c_str());
}

TEST(warming_targets, the_targets_of_the_first_configuration_are_warm)
{
    LONGS_EQUAL(0, left_of("t1", now).count());
    LONGS_EQUAL(0, latest->warming.size());
}

TEST(warming_targets, an_added_target_warms_up_from_its_submission)
{
    add_target("t3", "127.0.0.1:9003");
    submit();

    LONGS_EQUAL(30'000, left_of("t3", now).count());
    LONGS_EQUAL(20'000, left_of("t3", now + 10s).count());
    LONGS_EQUAL(0, left_of("t3", now + 30s).count());
    LONGS_EQUAL(0, left_of("t1", now).count());
}

TEST(warming_targets, an_undrained_target_or_data_centre_warms_up_again)
{
    set_state("t1", "draining");
    submit();
    LONGS_EQUAL_TEXT(0, left_of("t1", now).count(), "it takes no flows");
    set_state("t1", "active");
    at(document, "data_centres", "b", "state") = "draining";
    submit();
    LONGS_EQUAL(30'000, left_of("t1", now).count());

    at(document, "data_centres", "b", "state") = "active";
    now += 10s;
    submit();
    LONGS_EQUAL(20'000, left_of("t1", now).count());
    LONGS_EQUAL(30'000, left_of("t2", now).count());
}

TEST(warming_targets, a_target_that_stays_drained_is_not_listed)
{
    set_state("t1", "draining");
    submit();
    at(document, "classes", "c", "priority") = 3;
    submit();

    LONGS_EQUAL(0, latest->warming.size());
}

TEST(warming_targets, a_target_that_is_drained_during_its_warm_up_is_no_longer_listed)
{
    add_target("t3", "127.0.0.1:9003");
    submit();
    set_state("t3", "draining");
    submit();

    LONGS_EQUAL(0, latest->warming.size());
}

TEST(warming_targets, a_moved_target_warms_up)
{
    add_target("t1", "127.0.0.1:9003");
    submit();

    LONGS_EQUAL(30'000, left_of("t1", now).count());
}

TEST(warming_targets, an_unrelated_change_neither_starts_nor_ends_a_warm_up)
{
    add_target("t3", "127.0.0.1:9003");
    submit();
    now += 10s;
    at(document, "classes", "c", "priority") = 3;
    submit();

    LONGS_EQUAL(20'000, left_of("t3", now).count());
    LONGS_EQUAL(0, left_of("t1", now).count());
}

TEST(warming_targets, a_target_is_listed_only_until_its_warm_up_is_over)
{
    add_target("t3", "127.0.0.1:9003");
    submit();
    LONGS_EQUAL(1, latest->warming.size());

    now += 30s;
    at(document, "classes", "c", "priority") = 3;
    submit();
    LONGS_EQUAL(0, latest->warming.size());
}

TEST(warming_targets, a_service_without_a_warm_up_lists_no_target)
{
    document = small_document();
    add_target("t3", "127.0.0.1:9003");
    submit();

    LONGS_EQUAL(0, latest->warming.size());
}

TEST(warming_targets, a_clock_that_is_behind_makes_no_warm_up_longer)
{
    add_target("t3", "127.0.0.1:9003");
    submit();

    LONGS_EQUAL(30'000, left_of("t3", now - 1h).count());
}

TEST(warming_targets, an_envelope_round_trips_and_is_as_before_without_warm_ups)
{
    const auto text_before = write_envelope(*latest);
    CHECK_TRUE(text_before->find("warming") == std::string::npos);

    add_target("t3", "127.0.0.1:9003");
    submit();
    const auto envelope = parse_envelope(*write_envelope(*latest));
    CHECK_TRUE(envelope.has_value());
    CHECK_TRUE(envelope->warming == latest->warming);
}

TEST(warming_targets, a_stored_time_that_is_no_number_is_a_fault)
{
    add_target("t3", "127.0.0.1:9003");
    submit();
    boost::json::value stored = boost::json::parse(*write_envelope(*latest));
    at(stored, "warming", "t3") = "now";
    const std::string text = boost::json::serialize(stored);
    const fault_list faults = faults_of([&] { return parse_envelope(text); });

    LONGS_EQUAL(1, faults.size());
    STRCMP_EQUAL("/warming/t3", faults[0].pointer.c_str());
}
