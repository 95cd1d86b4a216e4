/// \file
/// Records of claims: the first one stands, and none is given that would not hold.

#include "submission_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(claim)
{
    submission_fixture it;

    claim_reply ask(instance_id coordinator, claim_decision decision,
                    roster_version version = {1}, std::chrono::milliseconds keep = 4s)
    {
        it.actions.clear();
        receive_claim(it.state.records, it.view, coordinator,
                      {.key = key_of(it.header),
                       .coordinator = coordinator,
                       .decision = decision,
                       .roster = version,
                       .keep = keep},
                      it.now, it.actions);
        const auto sent = all_of<send_to_peer>(it.actions);
        LONGS_EQUAL(1, sent.size());
        return std::get<claim_reply>(sent[0].message);
    }
};

TEST(claim, the_first_record_stands)
{
    ask({2}, claim_decision::run);
    const claim_reply second = ask({3}, claim_decision::refuse);
    CHECK_TRUE(second.valid);
    LONGS_EQUAL(2, second.coordinator.value);
    LONGS_EQUAL(static_cast<int>(claim_decision::run), static_cast<int>(second.decision));
}

TEST(claim, a_record_stands_for_its_time)
{
    ask({2}, claim_decision::run);
    expire_records(it.state.records, it.now + 3999ms);
    CHECK_TRUE(find_record(it.state.records, key_of(it.header)) != nullptr);
    expire_records(it.state.records, it.now + 4s);
    CHECK_TRUE(find_record(it.state.records, key_of(it.header)) == nullptr);
}

TEST(claim, a_full_table_gives_no_record_and_evicts_none)
{
    it.state.records.bound = 1;
    ask({2}, claim_decision::run);
    const submission_key first = key_of(it.header);
    it.header.request = {2};
    CHECK_FALSE(ask({2}, claim_decision::run).valid);
    CHECK_TRUE(find_record(it.state.records, first) != nullptr);
}

TEST(claim, a_holder_that_restarted_abstains_until_its_lost_records_have_expired)
{
    it.view.started = it.now - 13999ms;
    CHECK_FALSE(ask(it.holders[0], claim_decision::run).valid);
    it.now += 1ms;
    CHECK_TRUE(ask(it.holders[0], claim_decision::run).valid);
}

TEST(claim,
     a_holder_that_restarted_serves_first_holders_until_its_lost_votes_have_expired)
{
    it.view.started = it.now - 17999ms;
    CHECK_FALSE(ask(it.holders[1], claim_decision::run).valid);
    it.now += 1ms;
    CHECK_TRUE(ask(it.holders[1], claim_decision::run).valid);
}

TEST(claim, a_claim_that_would_outlive_the_longest_keep_gets_no_record)
{
    CHECK_FALSE(ask({2}, claim_decision::run, {1}, 14001ms).valid);
}

TEST(claim, a_coordinator_of_the_version_before_is_served_only_while_joint)
{
    learn_roster_from_store(
        it.view,
        {.version = {2}, .holders = {{1}, {2}, {3}, {4}}, .previous = it.first.holders},
        it.now, it.now);
    CHECK_TRUE(ask({2}, claim_decision::run, {1}).valid);
    it.hear_all(it.view, {2});
    it.now += 20s;
    it.header.request = {2};
    CHECK_FALSE(ask({2}, claim_decision::run, {1}).valid);
    CHECK_TRUE(ask({2}, claim_decision::run, {2}).valid);
}

TEST_GROUP(advance_vote)
{
    submission_fixture it;

    void setup() override
    {
        it.become(1);
        it.view.learned_at = it.now - 1min;
    }

    /// Asks for the votes of this instance, the second holder, on all keys of \p
    /// coordinator.
    bool is_granted(instance_id coordinator)
    {
        return is_granted(every_key({1}), coordinator, 4s);
    }

    /// Asks for a record of the key.
    bool is_recorded(instance_id coordinator)
    {
        return is_granted(key_of(it.header), coordinator, 6s);
    }

    bool is_granted(const submission_key& key, instance_id coordinator,
                    std::chrono::milliseconds keep)
    {
        it.actions.clear();
        receive_claim(
            it.state.records, it.view, coordinator,
            {.key = key, .coordinator = coordinator, .roster = {1}, .keep = keep}, it.now,
            it.actions);
        const auto sent = all_of<send_to_peer>(it.actions);
        return std::get<claim_reply>(sent.at(0).message).valid;
    }
};

TEST(advance_vote, keeps_the_keys_of_the_first_holder_from_all_others)
{
    CHECK_TRUE(is_granted(it.holders[0]));
    CHECK_FALSE(is_recorded(it.holders[2]));
    CHECK_TRUE(is_recorded(it.holders[0]));
}

TEST(advance_vote, is_kept_until_what_was_decided_with_it_has_expired)
{
    is_granted(it.holders[0]);
    it.now += 18s - 1ns;
    CHECK_FALSE(is_recorded(it.holders[2]));
    it.now += 1ns;
    CHECK_TRUE(is_recorded(it.holders[2]));
}

TEST(advance_vote, leaves_keys_of_other_first_holders_alone)
{
    is_granted(it.holders[1]);
    CHECK_TRUE(is_recorded(it.holders[2]));
}

TEST(advance_vote, is_not_given_while_a_record_of_another_coordinator_stands)
{
    is_recorded(it.holders[2]);
    CHECK_FALSE(is_granted(it.holders[0]));
    it.now += 6s;
    CHECK_TRUE(is_granted(it.holders[0]));
}

TEST(advance_vote, is_not_given_while_the_version_is_new_or_joint)
{
    it.view.learned_at = it.now - 13999ms;
    CHECK_FALSE(is_granted(it.holders[0]));
    it.view.learned_at = it.now - 14s;
    it.view.current.previous = {{9}};
    CHECK_FALSE(is_granted(it.holders[0]));
    it.view.current.previous.clear();
    CHECK_TRUE(is_granted(it.holders[0]));
}
