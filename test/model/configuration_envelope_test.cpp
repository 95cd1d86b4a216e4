/// \file
/// The stored value: what is written is read again, and past placements are kept as long
/// as flows may rest on them.

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
    std::optional<configuration_envelope> last;

    /// Submits the document on top of the last envelope.
    bool submit()
    {
        auto next = next_envelope(last ? &*last : nullptr,
                                  {.document = document, .submission = "x"}, now);
        if (next)
        {
            last = std::move(*next);
        }
        return next.has_value();
    }

    void set_state(const char* target, const char* state)
    {
        at(document, "pools", "p", "targets", target, "state") = state;
    }

    const std::vector<placement_epoch>& epochs() const
    {
        return last->checked.services.at(0).epochs;
    }
};

TEST(configuration_envelope, reads_back_what_it_wrote)
{
    CHECK_TRUE(submit());
    set_state("t1", "draining");
    CHECK_TRUE(submit());
    const auto text = write_envelope(*last);
    CHECK_TRUE(text.has_value());
    const auto whole = read_envelope(*text);

    CHECK_TRUE(whole.has_value());
    LONGS_EQUAL(2, whole->generation.value);
    STRCMP_EQUAL("x", whole->submission.c_str());
    LONGS_EQUAL(1, whole->services.at(0).epochs.size());
    LONGS_EQUAL(2, whole->services[0].epochs[0].retired_in.value);
    LONGS_EQUAL(2, whole->services[0].epochs[0].targets.size());
}

TEST(configuration_envelope, a_chain_of_past_placements_is_read_back_target_by_target)
{
    CHECK_TRUE(submit());
    set_state("t1", "draining");
    CHECK_TRUE(submit());
    set_state("t1", "active");
    set_state("t2", "draining");
    CHECK_TRUE(submit());
    at(document, "pools", "p", "targets", "t3") =
        boost::json::object{{"address", "127.0.0.1:9003"}, {"data_centre", "a"}};
    CHECK_TRUE(submit());
    const auto text = write_envelope(*last);
    CHECK_TRUE(text.has_value());
    const auto read = parse_envelope(*text);

    CHECK_TRUE(read.has_value());
    const auto& records = read->epochs.at("s");
    LONGS_EQUAL(3, records.size());
    CHECK_TRUE(records[0].targets == std::vector<std::string>({"t1", "t2"}));
    CHECK_TRUE(records[1].targets == std::vector<std::string>({"t2"}));
    CHECK_TRUE(records[2].targets == std::vector<std::string>({"t1"}));
}

TEST(configuration_envelope, only_a_changed_set_of_active_targets_leaves_a_placement)
{
    CHECK_TRUE(submit());
    at(document, "classes", "c", "priority") = 3;
    CHECK_TRUE(submit());
    LONGS_EQUAL(0, epochs().size());

    at(document, "data_centres", "b", "state") = "draining";
    CHECK_TRUE(submit());
    LONGS_EQUAL(1, epochs().size());
}

TEST(configuration_envelope, a_placement_lapses_after_the_flow_lifetime_and_the_slack)
{
    CHECK_TRUE(submit());
    set_state("t1", "draining");
    CHECK_TRUE(submit());
    at(document, "classes", "c", "priority") = 3;
    now += 159s;
    CHECK_TRUE(submit());
    LONGS_EQUAL(1, epochs().size());

    now += 1s;
    at(document, "classes", "c", "priority") = 4;
    CHECK_TRUE(submit());
    LONGS_EQUAL(0, epochs().size());
}

TEST(configuration_envelope, a_placement_over_the_bound_is_refused_until_one_lapses)
{
    for (std::size_t i = 0; i <= most_placement_epochs; ++i)
    {
        set_state("t1", i % 2 == 0 ? "active" : "draining");
        CHECK_TRUE(submit());
    }
    LONGS_EQUAL(most_placement_epochs, epochs().size());
    set_state("t1", "draining");
    CHECK_FALSE(submit());

    now += 160s;
    CHECK_TRUE(submit());
}

TEST(configuration_envelope, a_service_that_comes_back_finds_its_past_placements)
{
    CHECK_TRUE(submit());
    auto without = document;
    without.get_object()["services"] = boost::json::object();
    without.get_object()["listeners"] = boost::json::object();
    std::swap(document, without);
    CHECK_TRUE(submit());
    std::swap(document, without);
    CHECK_TRUE(submit());

    LONGS_EQUAL(1, epochs().size());
    LONGS_EQUAL(2, epochs()[0].targets.size());
    LONGS_EQUAL(2, epochs()[0].retired_in.value);
}

TEST(configuration_envelope, time_does_not_run_backwards_with_a_slow_clock)
{
    CHECK_TRUE(submit());
    const wall_time first = last->submitted_at;
    now -= 1h;
    at(document, "classes", "c", "priority") = 3;
    CHECK_TRUE(submit());

    CHECK_TRUE(last->submitted_at == first);
}

TEST(configuration_envelope, a_fault_in_the_stored_document_is_told_with_its_place)
{
    const auto faults = faults_of(
        []
        {
            return parse_envelope(
                R"({"generation":1,"submission":"x","author":"","submitted_at_ms":1,)"
                R"("epochs":{},"document":{"format":2}})");
        });

    CHECK_TRUE(!faults.empty());
    STRCMP_EQUAL("/document/format", faults[0].pointer.c_str());
}
