/// \file
/// Publishing against other operators, outages and lost answers.

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

/// What an edit came to, as a word; a conflict with its objects.
std::string told(const std::function<boost::leaf::result<publication>()>& edit)
{
    using text = std::string;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<text>
        {
            BOOST_LEAF_AUTO(done, edit());
            return text(done.is_new ? "published " : "unchanged ") +
                   std::to_string(done.published.value) +
                   (done.was_merged ? " merged" : "") +
                   (done.was_read_back ? " read back" : "");
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
        { return "unknown object, but " + failure.suggestion; },
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

    submission_context by(const char* author)
    {
        return {author, "submission-" + std::to_string(++submissions), now};
    }

    std::string apply_document(const boost::json::value& document,
                               std::optional<generation> base = std::nullopt)
    {
        return told(
            [&]
            { return apply(store, boost::json::serialize(document), base, by("anna")); });
    }

    std::string set_state(const char* target, administrative_state state)
    {
        return told(
            [&] {
                return change_state(store, {drainable_kind::target, {target}, state},
                                    by("bo"));
            });
    }

    std::string drain(const char* target)
    {
        return set_state(target, administrative_state::draining);
    }

    /// Returns the class's priority in a generation that is in force or in the history.
    std::int64_t priority_in(std::uint64_t number)
    {
        const auto current = read_current(store);
        const auto envelope = read_generation(store, *current, {number});
        CHECK_TRUE(envelope.has_value());
        return envelope->checked.classes.at(0).priority;
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

TEST(publication, every_generation_stays_in_the_history)
{
    STRCMP_EQUAL("published 2", apply_document(with_priority(2), generation{1}).c_str());
    STRCMP_EQUAL("published 3", apply_document(with_priority(3), generation{2}).c_str());

    LONGS_EQUAL(0, priority_in(1));
    LONGS_EQUAL(2, priority_in(2));
    LONGS_EQUAL(3, priority_in(3));
}

TEST(publication, an_answer_lost_after_the_write_took_effect_is_read_back)
{
    store.faults = {write_fault::lost_after_effect};

    STRCMP_EQUAL("published 2 read back",
                 apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(2, priority_in(2));
    STRCMP_EQUAL("unchanged 2", apply_document(with_priority(2)).c_str());
}

TEST(publication, a_lost_answer_is_found_below_a_later_generation)
{
    store.faults = {write_fault::lost_after_effect};
    store.after_write = [&]
    {
        STRCMP_EQUAL("published 3", drain("t1").c_str());
    };

    STRCMP_EQUAL("published 2 read back",
                 apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(2, priority_in(3));
}

TEST(publication, a_write_that_was_lost_without_effect_is_made_once_more)
{
    store.faults = {write_fault::lost_without_effect};

    STRCMP_EQUAL("published 2", apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(2, priority_in(2));
}

TEST(publication, each_attempt_after_the_first_is_waited_for)
{
    store.faults = {write_fault::lost_without_effect, write_fault::lost_without_effect};
    std::string waits;
    submission_context patient = by("bo");
    patient.pause = [&](std::size_t attempt)
    {
        waits += std::to_string(attempt);
    };

    STRCMP_EQUAL(
        "published 2",
        told([&] { return change_state(store, {.names = {"t1"}}, patient); }).c_str());
    STRCMP_EQUAL("12", waits.c_str());
}

TEST(publication, a_delayed_write_takes_effect_once)
{
    store.faults = {write_fault::delayed};

    STRCMP_EQUAL("published 2 read back",
                 apply_document(with_priority(2), generation{1}).c_str());
    STRCMP_EQUAL("unchanged 2", apply_document(with_priority(2)).c_str());
}

TEST(publication, a_lost_write_that_somebody_overtook_is_known_not_to_count)
{
    store.faults = {write_fault::lost_without_effect};
    store.after_write = [&]
    {
        STRCMP_EQUAL("published 2", drain("t1").c_str());
    };

    STRCMP_EQUAL("published 3 merged",
                 apply_document(with_priority(2), generation{1}).c_str());
}

TEST(publication, the_outcome_is_unknown_when_the_platform_goes_away_after_a_lost_answer)
{
    store.faults = {write_fault::lost_after_effect};
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

TEST(publication, a_race_for_one_object_is_a_conflict_that_names_it)
{
    store.before_write = [&]
    {
        STRCMP_EQUAL("published 2", apply_document(with_priority(3), {{1}}).c_str());
    };

    STRCMP_EQUAL("conflict /classes/c",
                 apply_document(with_priority(2), generation{1}).c_str());
    LONGS_EQUAL(3, priority_in(2));
}

TEST(publication, a_race_for_different_objects_keeps_both_edits)
{
    store.before_write = [&]
    {
        STRCMP_EQUAL("published 2", apply_document(with_priority(3), {{1}}).c_str());
    };

    STRCMP_EQUAL("published 3 merged", drain("t1").c_str());
    LONGS_EQUAL(3, priority_in(3));
    STRCMP_EQUAL("unchanged 3", drain("t1").c_str());
}

TEST(publication, two_edits_that_are_right_alone_and_wrong_together_are_refused)
{
    store.before_write = [&]
    {
        STRCMP_EQUAL("published 2", drain("t1").c_str());
    };

    STRCMP_EQUAL("faults", drain("t2").c_str());
}

TEST(publication, a_file_without_a_base_does_not_replace_what_is_in_force)
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
        return told([&] { return roll_back(store, {number}, by("bo")); });
    };

    STRCMP_EQUAL("published 3", roll_back_to(1).c_str());
    LONGS_EQUAL(0, priority_in(3));
    STRCMP_EQUAL("unknown generation", roll_back_to(9).c_str());
}

TEST(publication, a_target_may_change_as_often_as_operators_like)
{
    for (int i = 0; i < 20; ++i)
    {
        set_state("t1", i % 2 == 0 ? administrative_state::draining
                                   : administrative_state::active);
    }
    STRCMP_EQUAL("published 22", drain("t1").c_str());
}

TEST(publication, a_target_that_flows_may_rest_on_is_not_removed_or_moved)
{
    auto file = small_document();
    at(file, "pools", "p", "targets").get_object().erase("t1");
    STRCMP_EQUAL("at risk t1", apply_document(file, generation{1}).c_str());

    auto moved = small_document();
    at(moved, "pools", "p", "targets", "t2", "address") = "127.0.0.1:9009";
    STRCMP_EQUAL("at risk t2", apply_document(moved, generation{1}).c_str());
    STRCMP_EQUAL("published 2", told(
                                    [&]
                                    {
                                        submission_context bold = by("bo");
                                        bold.may_cut_flows = true;
                                        return apply(store, boost::json::serialize(moved),
                                                     generation{1}, bold);
                                    })
                                    .c_str());
}

TEST(publication, a_drained_target_can_go_when_the_flow_lifetime_is_over)
{
    STRCMP_EQUAL("published 2", drain("t1").c_str());
    auto file = small_document();
    at(file, "pools", "p", "targets").get_object().erase("t1");
    now += 159s;
    STRCMP_EQUAL("at risk t1", apply_document(file, generation{2}).c_str());

    now += 1s;
    STRCMP_EQUAL("published 3", apply_document(file, generation{2}).c_str());
}

TEST(publication, several_objects_are_drained_in_one_generation_or_none)
{
    const auto drain_all = [&](std::vector<std::string> names)
    {
        return told(
            [&] { return change_state(store, {.names = std::move(names)}, by("bo")); });
    };
    STRCMP_EQUAL("faults", drain_all({"t1", "t2"}).c_str());
    auto file = small_document();
    const boost::json::value target = at(file, "pools", "p", "targets", "t1");
    at(file, "pools", "p", "targets", "t3") = target;
    at(file, "pools", "p", "targets", "t3", "address") = "127.0.0.1:9003";
    STRCMP_EQUAL("published 2", apply_document(file, generation{1}).c_str());

    STRCMP_EQUAL("unknown object, but t1", drain_all({"t2", "t9"}).c_str());
    STRCMP_EQUAL("published 3", drain_all({"t1", "t2"}).c_str());
    STRCMP_EQUAL("unchanged 3", drain("t2").c_str());
}

TEST(publication, an_instance_that_nobody_heard_is_not_drained_but_can_be_undrained)
{
    std::vector<std::string> known = {"entry-1"};
    const auto set = [&](const char* name, administrative_state state)
    {
        return told(
            [&]
            {
                return change_state(
                    store, {drainable_kind::instance, {name}, state, known}, by("bo"));
            });
    };
    STRCMP_EQUAL("unknown object, but entry-1",
                 set("entry-11", administrative_state::draining).c_str());
    STRCMP_EQUAL("published 2", set("entry-1", administrative_state::draining).c_str());

    known.clear();
    STRCMP_EQUAL("published 3", set("entry-1", administrative_state::active).c_str());
    STRCMP_EQUAL("unchanged 3", set("entry-1", administrative_state::active).c_str());
}

TEST(publication, a_drain_of_nothing_is_refused_with_the_nearest_name)
{
    auto file = small_document();
    const boost::json::value target = at(file, "pools", "p", "targets", "t1");
    at(file, "pools", "p", "targets", "target-1") = target;
    at(file, "pools", "p", "targets", "target-1", "address") = "127.0.0.1:9003";
    STRCMP_EQUAL("published 2", apply_document(file, generation{1}).c_str());
    STRCMP_EQUAL("unknown object, but target-1", drain("target-11").c_str());
}
