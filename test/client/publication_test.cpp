/// \file
/// Publishing an edit despite concurrent edits, outages and lost responses.

#include "client/commands.hpp"
#include "client/failure.hpp"
#include "support/documents.hpp"
#include "support/memory_store.hpp"

#include <boost/json/serialize.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

/// Returns the result or the failure of an edit as text. A conflict lists its objects.
std::string outcome_of(const std::function<boost::leaf::result<publication>()>& edit)
{
    using text = std::string;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<text>
        {
            BOOST_LEAF_AUTO(result, edit());
            return text(result.is_new ? "published " : "unchanged ") +
                   std::to_string(result.published.value) +
                   (result.was_merged ? " merged" : "") +
                   (result.was_read_back ? " read back" : "");
        },
        [](const edit_conflict& failure)
        {
            text objects = "conflict";
            for (const object_path& each : failure.objects)
            {
                objects += ' ' + to_pointer(each);
            }
            return objects;
        },
        [](const configuration_faults&) { return text("faults"); },
        [](const flows_at_risk& failure) { return "at risk " + failure.targets.at(0); },
        [](const base_required&) { return text("base required"); },
        [](const unknown_object& failure)
        { return "unknown object, suggestion " + failure.suggestion; },
        [](const unknown_generation&) { return text("unknown generation"); },
        [](const nothing_in_force&) { return text("nothing in force"); },
        [](const outcome_unknown&) { return text("outcome unknown"); },
        [](const too_many_attempts&) { return text("too many attempts"); },
        [](const store_unreachable&) { return text("unreachable"); },
        [](const store_timeout&) { return text("timeout"); },
        [] { return text("unexpected"); });
}

} // namespace

TEST_GROUP(publication)
{
    memory_store store;
    wall_time now{1'000'000s};
    int submissions = 0;

    submission_context make_context(const char* author)
    {
        return {author, "submission-" + std::to_string(++submissions), now};
    }

    std::string apply_document(const boost::json::value& document,
                               std::optional<generation> base = std::nullopt)
    {
        return outcome_of(
            [&] {
                return apply(store, boost::json::serialize(document), base,
                             make_context("anna"));
            });
    }

    std::string set_state(const char* target, administrative_state state)
    {
        return outcome_of(
            [&]
            {
                return change_state(store, {drainable_kind::target, {target}, state},
                                    make_context("bo"));
            });
    }

    std::string drain(const char* target)
    {
        return set_state(target, administrative_state::draining);
    }

    /// Returns the priority of the only class in generation \p number.
    std::int64_t priority_in(std::uint64_t number)
    {
        const auto current = read_current(store);
        const auto envelope = read_generation(store, *current, {number});
        CHECK_TRUE(envelope.has_value());
        return envelope->checked_configuration.classes.at(0).priority;
    }

    boost::json::value with_priority(int priority)
    {
        auto document = small_document();
        at(document, "classes", "c", "priority") = priority;
        return document;
    }

    void setup() override
    {
        STRCMP_EQUAL("published 1", apply_document(small_document()).c_str());
    }
};

TEST(publication, past_generations_stay_in_the_history)
{
    STRCMP_EQUAL("published 2", apply_document(with_priority(2), generation{1}).c_str());
    STRCMP_EQUAL("published 3", apply_document(with_priority(3), generation{2}).c_str());

    LONGS_EQUAL(0, priority_in(1));
    LONGS_EQUAL(2, priority_in(2));
    LONGS_EQUAL(3, priority_in(3));
}

TEST(publication, a_write_whose_response_was_lost_is_confirmed_by_reading_back)
{
    store.faults = {write_fault::lost_response};

    STRCMP_EQUAL("published 2 read back",
                 apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(2, priority_in(2));
    STRCMP_EQUAL("unchanged 2", apply_document(with_priority(2)).c_str());
}

TEST(publication,
     a_write_whose_response_was_lost_is_found_in_the_history_after_a_later_write)
{
    store.faults = {write_fault::lost_response};
    store.after_write = [&]
    {
        STRCMP_EQUAL("published 3", drain("t1").c_str());
    };

    STRCMP_EQUAL("published 2 read back",
                 apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(2, priority_in(3));
}

TEST(publication, a_write_whose_request_was_lost_is_retried)
{
    store.faults = {write_fault::lost_request};

    STRCMP_EQUAL("published 2", apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(2, priority_in(2));
}

TEST(publication, every_retry_is_preceded_by_a_pause)
{
    store.faults = {write_fault::lost_request, write_fault::lost_request};
    std::string pauses;
    submission_context context = make_context("bo");
    context.pause = [&](std::size_t attempt)
    {
        pauses += std::to_string(attempt);
    };

    STRCMP_EQUAL(
        "published 2",
        outcome_of([&] { return change_state(store, {.names = {"t1"}}, context); })
            .c_str());
    STRCMP_EQUAL("12", pauses.c_str());
}

TEST(publication, a_delayed_write_takes_effect_once)
{
    store.faults = {write_fault::delayed_request};

    STRCMP_EQUAL("published 2 read back",
                 apply_document(with_priority(2), generation{1}).c_str());
    STRCMP_EQUAL("unchanged 2", apply_document(with_priority(2)).c_str());
}

TEST(publication, a_lost_write_is_ruled_out_once_another_write_takes_its_revision)
{
    store.faults = {write_fault::lost_request};
    store.after_write = [&]
    {
        STRCMP_EQUAL("published 2", drain("t1").c_str());
    };

    STRCMP_EQUAL("published 3 merged",
                 apply_document(with_priority(2), generation{1}).c_str());
}

TEST(publication, the_outcome_is_unknown_if_the_platform_goes_down_after_a_lost_response)
{
    store.faults = {write_fault::lost_response};
    store.after_write = [&]
    {
        store.is_down = true;
    };

    STRCMP_EQUAL("outcome unknown",
                 apply_document(with_priority(2), generation{1}).c_str());
}

TEST(publication, nothing_changes_while_the_platform_is_down)
{
    const auto before = store.values.at(std::string(configuration_key)).value;
    store.is_down = true;

    STRCMP_EQUAL("unreachable", drain("t1").c_str());
    STRCMP_EQUAL(before.c_str(),
                 store.values.at(std::string(configuration_key)).value.c_str());
}

TEST(publication, concurrent_edits_of_one_object_are_a_conflict_that_names_it)
{
    store.before_write = [&]
    {
        STRCMP_EQUAL("published 2", apply_document(with_priority(3), {{1}}).c_str());
    };

    STRCMP_EQUAL("conflict /classes/c",
                 apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(3, priority_in(2));
}

TEST(publication, concurrent_edits_of_different_objects_are_merged)
{
    store.before_write = [&]
    {
        STRCMP_EQUAL("published 2", apply_document(with_priority(3), {{1}}).c_str());
    };

    STRCMP_EQUAL("published 3 merged", drain("t1").c_str());
    LONGS_EQUAL(3, priority_in(3));
    STRCMP_EQUAL("unchanged 3", drain("t1").c_str());
}

TEST(publication, two_valid_edits_with_an_invalid_merge_are_refused)
{
    store.before_write = [&]
    {
        STRCMP_EQUAL("published 2", drain("t1").c_str());
    };

    STRCMP_EQUAL("faults", drain("t2").c_str());
}

TEST(publication, a_file_without_a_base_does_not_replace_the_configuration_in_force)
{
    STRCMP_EQUAL("base required", apply_document(with_priority(2)).c_str());
}

TEST(publication, a_file_from_an_older_generation_does_not_undo_a_later_one)
{
    STRCMP_EQUAL("published 2", drain("t1").c_str());
    auto file = with_priority(2);
    file.get_object()["edited_from"] = 1;
    STRCMP_EQUAL("published 3 merged", apply_document(file).c_str());
    STRCMP_EQUAL("unchanged 3", drain("t1").c_str());

    at(file, "pools", "p", "targets", "t1", "connections") = 7;
    STRCMP_EQUAL(
        "conflict /classes/c /pools/p/targets/t1",
        (at(file, "classes", "c", "priority") = 4, apply_document(file)).c_str());
}

TEST(publication, a_rollback_is_a_new_generation_with_old_content)
{
    STRCMP_EQUAL("published 2", apply_document(with_priority(2), generation{1}).c_str());
    const auto roll_back_to = [&](std::uint64_t number)
    {
        return outcome_of([&] { return roll_back(store, {number}, make_context("bo")); });
    };

    STRCMP_EQUAL("published 3", roll_back_to(1).c_str());
    LONGS_EQUAL(0, priority_in(3));
    STRCMP_EQUAL("unknown generation", roll_back_to(9).c_str());
}

TEST(publication, the_state_of_a_target_can_change_any_number_of_times)
{
    for (int i = 0; i < 20; ++i)
    {
        set_state("t1", i % 2 == 0 ? administrative_state::draining
                                   : administrative_state::active);
    }
    STRCMP_EQUAL("published 22", drain("t1").c_str());
}

TEST(publication, a_target_that_may_have_open_flows_is_not_removed_or_moved)
{
    auto file = small_document();
    at(file, "pools", "p", "targets").get_object().erase("t1");
    STRCMP_EQUAL("at risk t1", apply_document(file, generation{1}).c_str());

    auto moved = small_document();
    at(moved, "pools", "p", "targets", "t2", "address") = "127.0.0.1:9009";
    STRCMP_EQUAL("at risk t2", apply_document(moved, generation{1}).c_str());
    STRCMP_EQUAL("published 2", outcome_of(
                                    [&]
                                    {
                                        submission_context context = make_context("bo");
                                        context.may_cut_flows = true;
                                        return apply(store, boost::json::serialize(moved),
                                                     generation{1}, context);
                                    })
                                    .c_str());
}

TEST(publication, a_drained_target_can_be_removed_after_the_flow_lifetime)
{
    STRCMP_EQUAL("published 2", drain("t1").c_str());
    auto file = small_document();
    at(file, "pools", "p", "targets").get_object().erase("t1");
    // The target stays listed as retired for the flow lifetime of 100 s plus
    // retention_clock_margin, 60 s.
    now += 159s;
    STRCMP_EQUAL("at risk t1", apply_document(file, generation{2}).c_str());

    now += 1s;
    STRCMP_EQUAL("published 3", apply_document(file, generation{2}).c_str());
}

TEST(publication, several_objects_are_drained_in_one_generation_or_none)
{
    const auto drain_all = [&](std::vector<std::string> names)
    {
        return outcome_of(
            [&] {
                return change_state(store, {.names = std::move(names)},
                                    make_context("bo"));
            });
    };
    STRCMP_EQUAL("faults", drain_all({"t1", "t2"}).c_str());
    auto file = small_document();
    const boost::json::value target = at(file, "pools", "p", "targets", "t1");
    at(file, "pools", "p", "targets", "t3") = target;
    at(file, "pools", "p", "targets", "t3", "address") = "127.0.0.1:9003";
    STRCMP_EQUAL("published 2", apply_document(file, generation{1}).c_str());

    STRCMP_EQUAL("unknown object, suggestion t1", drain_all({"t2", "t9"}).c_str());
    STRCMP_EQUAL("published 3", drain_all({"t1", "t2"}).c_str());
    STRCMP_EQUAL("unchanged 3", drain("t2").c_str());
}

TEST(publication, an_unknown_instance_is_not_drained_but_can_be_undrained)
{
    std::vector<std::string> known = {"entry-1"};
    const auto set = [&](const char* name, administrative_state state)
    {
        return outcome_of(
            [&]
            {
                return change_state(store,
                                    {drainable_kind::instance, {name}, state, known},
                                    make_context("bo"));
            });
    };
    STRCMP_EQUAL("unknown object, suggestion entry-1",
                 set("entry-11", administrative_state::draining).c_str());
    STRCMP_EQUAL("published 2", set("entry-1", administrative_state::draining).c_str());

    known.clear();
    STRCMP_EQUAL("published 3", set("entry-1", administrative_state::active).c_str());
    STRCMP_EQUAL("unchanged 3", set("entry-1", administrative_state::active).c_str());
}

TEST(publication, draining_an_unknown_target_fails_and_suggests_the_nearest_name)
{
    auto file = small_document();
    const boost::json::value target = at(file, "pools", "p", "targets", "t1");
    at(file, "pools", "p", "targets", "target-1") = target;
    at(file, "pools", "p", "targets", "target-1", "address") = "127.0.0.1:9003";
    STRCMP_EQUAL("published 2", apply_document(file, generation{1}).c_str());
    STRCMP_EQUAL("unknown object, suggestion target-1", drain("target-11").c_str());
}
