/// \file
/// Tests of the stored configuration: it round-trips through its text, and a target stays
/// listed as retired for as long as it may hold open flows.

#include "support/documents.hpp"

#include <kumquatpath/model/configuration_envelope.hpp>

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(configuration_envelope)
{
    boost::json::value document = small_document();
    wall_time now{1'000'000s};
    std::optional<configuration_envelope> latest;

    /// Submits the document as the successor of the latest envelope. Returns whether it
    /// was accepted.
    bool submit()
    {
        auto next = next_envelope(latest ? &*latest : nullptr,
                                  {.document = document, .submission = "x"}, now);
        if (next)
        {
            latest = std::move(*next);
        }
        return next.has_value();
    }

    void set_state(const char* target, const char* state)
    {
        at(document, "pools", "p", "targets", target, "state") = state;
    }

    bool is_retired(const char* target) const
    {
        return latest->retired.contains(target);
    }
};

TEST(configuration_envelope, round_trips_through_text)
{
    CHECK_TRUE(submit());
    set_state("t1", "draining");
    CHECK_TRUE(submit());
    const auto text = write_envelope(*latest);
    CHECK_TRUE(text.has_value());
    const auto config = parse_stored_configuration(*text);
    const auto envelope = parse_envelope(*text);

    CHECK_TRUE(config.has_value());
    CHECK_TRUE(envelope.has_value());
    CHECK_TRUE(envelope->retired == latest->retired);
    LONGS_EQUAL(1, envelope->retired.size());
    LONGS_EQUAL(2, config->generation.value);
    STRCMP_EQUAL("x", config->submission.c_str());
}

TEST(configuration_envelope, a_target_is_retired_while_it_takes_no_new_flows)
{
    CHECK_TRUE(submit());
    at(document, "classes", "c", "priority") = 3;
    CHECK_TRUE(submit());
    LONGS_EQUAL(0, latest->retired.size());

    at(document, "data_centres", "b", "state") = "draining";
    CHECK_TRUE(submit());
    CHECK_TRUE(is_retired("t2"));
    CHECK_FALSE(is_retired("t1"));

    at(document, "data_centres", "b", "state") = "active";
    CHECK_TRUE(submit());
    LONGS_EQUAL_TEXT(0, latest->retired.size(), "t2 takes flows again");
}

TEST(configuration_envelope,
     a_retired_target_is_dropped_after_the_flow_lifetime_and_the_clock_margin)
{
    CHECK_TRUE(submit());
    set_state("t1", "draining");
    CHECK_TRUE(submit());
    at(document, "classes", "c", "priority") = 3;
    now += 159s;
    CHECK_TRUE(submit());
    CHECK_TRUE(is_retired("t1"));

    now += 1s;
    at(document, "classes", "c", "priority") = 4;
    CHECK_TRUE(submit());
    CHECK_FALSE(is_retired("t1"));
}

TEST(configuration_envelope, targets_of_a_removed_service_are_retired)
{
    CHECK_TRUE(submit());
    document.get_object()["services"] = boost::json::object();
    document.get_object()["listeners"] = boost::json::object();
    CHECK_TRUE(submit());

    CHECK_TRUE(is_retired("t1"));
    CHECK_TRUE(is_retired("t2"));
}

TEST(configuration_envelope, submission_time_does_not_decrease_with_a_slow_clock)
{
    CHECK_TRUE(submit());
    const wall_time first = latest->submitted_at;
    now -= 1h;
    at(document, "classes", "c", "priority") = 3;
    CHECK_TRUE(submit());

    CHECK_TRUE(latest->submitted_at == first);
}

TEST(configuration_envelope, a_fault_in_the_stored_document_is_reported_with_its_pointer)
{
    const auto faults = faults_of(
        []
        {
            return parse_envelope(
                R"({"generation":1,"submission":"x","author":"","submitted_at_ms":1,)"
                R"("retired":{},"document":{"format":2}})");
        });

    CHECK_TRUE(!faults.empty());
    STRCMP_EQUAL("/document/format", faults[0].pointer.c_str());
}
