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
    CHECK_FALSE(ask({2}, claim_decision::run).valid);
    it.now += 1ms;
    CHECK_TRUE(ask({2}, claim_decision::run).valid);
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
