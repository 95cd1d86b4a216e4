/// \file
/// The roster: who may decide, and when two versions count together.

#include "submission_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(roster)
{
    submission_fixture it;
    roster second{
        .version = {2}, .holders = {{1}, {2}, {3}, {4}}, .previous = it.first.holders};
};

TEST(roster, a_majority_that_follows_the_version_is_needed_to_decide)
{
    CHECK_TRUE(may_decide(it.view, it.now));
    for (int i = 0; i < 6; ++i)
    {
        it.now += 500ms;
        tick_roster(it.view, it.now);
    }
    CHECK_FALSE(may_decide(it.view, it.now));
}

TEST(roster, a_paused_instance_does_not_decide_until_it_has_heard_a_majority_again)
{
    it.now += 501ms;
    CHECK_FALSE(may_decide(it.view, it.now));
    // What waited in the buffer through the pause counts for nothing.
    it.hear_all(it.view, {1});
    CHECK_FALSE(may_decide(it.view, it.now));
    it.now += 500ms;
    it.hear_all(it.view, {1});
    CHECK_TRUE(may_decide(it.view, it.now));
}

TEST(roster, a_new_version_is_joint_until_the_old_holders_have_long_followed_it)
{
    learn_roster_from_store(it.view, second, it.now, it.now);
    CHECK_TRUE(is_joint(it.view, it.now + 1h));
    it.hear_all(it.view, {2});
    CHECK_TRUE(is_joint(it.view, it.now + 20s - 1ns));
    CHECK_FALSE(is_joint(it.view, it.now + 20s));
}

TEST(roster, a_joint_version_names_the_holders_of_both)
{
    learn_roster_from_store(it.view, second, it.now, it.now);
    const holder_sets sets = holders_of(it.view, key_of(it.header), it.now);
    LONGS_EQUAL(3, sets.current.size());
    LONGS_EQUAL(3, sets.previous.size());
}

TEST(roster, a_settled_version_of_a_peer_is_taken_as_settled)
{
    learn_roster_from_store(it.view, second, it.now, it.now);
    second.previous.clear();
    learn_roster_from_peer(it.view, {.value = second}, it.now);
    CHECK_FALSE(is_joint(it.view, it.now));
}

TEST(roster, an_instance_without_the_stores_word_does_not_decide_for_ever)
{
    it.view.options.view_lease = 3h;
    it.view.options.longest_gap = 3h;
    CHECK_TRUE(may_decide(it.view, it.now + 2h - 1ns));
    CHECK_FALSE(may_decide(it.view, it.now + 2h));
}

TEST(roster, the_version_in_force_never_goes_back)
{
    learn_roster_from_store(it.view, second, it.now, it.now);
    CHECK_FALSE(learn_roster_from_store(it.view, it.first, it.now, it.now));
    LONGS_EQUAL(2, it.view.current.version.value);
}

TEST(roster, a_restarted_instance_announces_no_version_that_one_peer_alone_told)
{
    it.view = start_roster_view({}, {1}, it.now - 14s);
    it.view.last_tick = it.now;
    learn_roster_from_peer(it.view, {.value = it.first}, it.now);
    hear_roster_version(it.view, {2}, {1}, it.now);
    hear_roster_version(it.view, {3}, {1}, it.now);
    LONGS_EQUAL(0, announced_version(it.view).value);
    hear_roster_version(it.view, {4}, {1}, it.now);
    LONGS_EQUAL(1, announced_version(it.view).value);
}

TEST(roster, a_restarted_instance_without_the_store_announces_nothing_for_a_while)
{
    it.view = start_roster_view({}, {1}, it.now - 14s + 1ns);
    it.view.last_tick = it.now;
    learn_roster_from_peer(it.view, {.value = it.first}, it.now);
    it.hear_all(it.view, {1});
    LONGS_EQUAL(0, announced_version(it.view).value);
}
