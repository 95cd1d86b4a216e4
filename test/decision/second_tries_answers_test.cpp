/// \file
/// Tests of where a flow stays after its second try, whichever target answers.

#include "second_tries_fixture.hpp"

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(second_tries_answers, second_tries_fixture){};

// Failure: the first target was only slow, and answers after the second one.
TEST(second_tries_answers, if_the_second_target_answers_first_the_flow_stays_there)
{
    const second_try second = send_one(1);
    CHECK_TRUE(second.decision.target != second.first_target);
    acknowledge(1, second.decision.target);
    UNSIGNED_LONGS_EQUAL(1, counts().won);
    UNSIGNED_LONGS_EQUAL(second.decision.target,
                         acknowledge(1, second.first_target).target);
    UNSIGNED_LONGS_EQUAL(1, total_in_flight());
    UNSIGNED_LONGS_EQUAL(0, counts().lost);
}

// Failure: the first target answers just after the second try was sent, and the second
// target's late answer changes the token in the caller's packets.
TEST(second_tries_answers, if_the_first_target_answers_first_the_flow_stays_there)
{
    const second_try second = send_one(1);
    acknowledge(1, second.first_target);
    UNSIGNED_LONGS_EQUAL(1, counts().lost);
    UNSIGNED_LONGS_EQUAL(second.first_target,
                         acknowledge(1, second.decision.target).target);
    UNSIGNED_LONGS_EQUAL(1, total_in_flight());
    pass(400ms);
    UNSIGNED_LONGS_EQUAL(
        0, steering.selector.stats[second.decision.target].overdue_openings);
}

// Load: the caller retransmits its opening after the second try. A third target is tried
// only if the second one is overdue too.
TEST(second_tries_answers,
     the_callers_copy_is_no_third_placement_while_the_second_is_awaited)
{
    const second_try second = send_one(1);
    pass(5ms);
    const steering_decision early = place(1, 200ms);
    CHECK_FALSE(early.is_placement);
    UNSIGNED_LONGS_EQUAL(second.decision.target, early.target);
    pass(200ms);
    const steering_decision late = place(1, 600ms);
    CHECK_TRUE(late.is_placement);
    CHECK_TRUE(late.target != second.decision.target);
    UNSIGNED_LONGS_EQUAL(1, sent.size());
}

// Failure: the target of the second try leaves before it answers.
TEST(second_tries_answers, the_callers_copy_avoids_a_second_target_that_has_left)
{
    const second_try second = send_one(1);
    remove(second.decision.target);
    const steering_decision copy = place(1, 200ms);
    CHECK_TRUE(copy.is_placement);
    CHECK_TRUE(copy.target != second.decision.target);
}

// Failure: the fabric rehashes between an opening and its second try, and the instance
// that sent the second try can't see it. The caller's acknowledgement arrives at another
// instance, and the second target's answer then changes the token.
TEST(second_tries_answers, another_instance_keeps_an_acknowledged_flow_at_its_target)
{
    const second_try second = send_one(1);
    flow_steering other{.pins_flows = true};
    const flow_token first_token = directory.targets[second.first_target].token;
    steer(other, table, directory, continuation(1, first_token), now);
    flow_packet request = continuation(1, second.decision.token);
    request.has_payload = true;
    UNSIGNED_LONGS_EQUAL(second.first_target,
                         steer(other, table, directory, request, now).target);
}

// A flow whose acknowledgement arrived elsewhere follows its token, as without second
// tries: its first packet here may carry the token of a late answer.
TEST(second_tries_answers, another_instance_follows_the_token_of_a_flow_in_progress)
{
    flow_steering other{.pins_flows = true};
    flow_packet request = continuation(1, directory.targets[1].token);
    request.has_payload = true;
    steer(other, table, directory, request, now);
    const flow_packet next = continuation(1, directory.targets[0].token);
    UNSIGNED_LONGS_EQUAL(0, steer(other, table, directory, next, now).target);
}

TEST(second_tries_answers, an_opening_that_nobody_answers_is_given_up)
{
    send_one(1);
    pass(2s);
    CHECK_TRUE(tries.pending.empty());
    UNSIGNED_LONGS_EQUAL(0, counts().won + counts().lost);
}
