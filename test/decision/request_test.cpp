/// \file
/// Retries: only of what may run again, within budget and deadline, and heard from one
/// target.

#include "submission_fixture.hpp"

#include <kumquatpath/decision/request.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(request)
{
    submission_fixture it;
    request_state state;

    void setup() override
    {
        it.header.repeatable = true;
        state.options.retry.earned_per_try = 1;
        send();
    }

    void send()
    {
        it.actions.clear();
        send_request(state, it.header, {}, {1}, it.now, it.actions);
        LONGS_EQUAL(1, all_of<send_to_target>(it.actions).size());
    }

    void check_verdict(request_verdict wanted, packet_kind kind, target_id from = {1})
    {
        packet_header header = it.header;
        header.kind = kind;
        header.outcome = kind == packet_kind::refusal ? request_outcome::not_run
                                                      : request_outcome::answered;
        LONGS_EQUAL(static_cast<int>(wanted), static_cast<int>(receive_request_answer(
                                                  state, from, header, it.now)));
    }

    std::vector<send_to_target> retry(target_id target)
    {
        it.actions.clear();
        retry_request(state, key_of(it.header), target, it.now, it.actions);
        return all_of<send_to_target>(it.actions);
    }
};

TEST(request, that_was_refused_is_tried_on_another_target_with_the_time_that_is_left)
{
    it.now += 300ms;
    check_verdict(request_verdict::retry, packet_kind::refusal);
    const auto sent = retry({2});
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(2, sent[0].target.value);
    LONGS_EQUAL(1'700'000, sent[0].header.deadline.count());
}

TEST(request, is_not_retried_without_a_grant)
{
    LONGS_EQUAL(0, retry({2}).size());
}

TEST(request, is_not_retried_beyond_the_budget)
{
    check_verdict(request_verdict::retry, packet_kind::refusal);
    retry({2});
    check_verdict(request_verdict::relay, packet_kind::refusal, {2});
}

TEST(request, is_not_retried_after_its_deadline)
{
    it.now += 2s;
    check_verdict(request_verdict::relay, packet_kind::refusal);
}

TEST(request, hears_only_the_target_of_the_latest_try)
{
    check_verdict(request_verdict::retry, packet_kind::refusal);
    retry({2});
    check_verdict(request_verdict::drop, packet_kind::answer, {1});
    check_verdict(request_verdict::relay, packet_kind::answer, {2});
}

TEST(request, whose_target_is_silent_is_tried_again_once)
{
    LONGS_EQUAL(0, tick_requests(state, it.now + 499ms).size());
    LONGS_EQUAL(1, tick_requests(state, it.now + 500ms).size());
    LONGS_EQUAL(0, tick_requests(state, it.now + 1s).size());
}

TEST(request, with_a_part_of_its_answer_passed_on_is_not_tried_again)
{
    it.header.fragments = 2;
    check_verdict(request_verdict::relay, packet_kind::answer);
    LONGS_EQUAL(0, tick_requests(state, it.now + 500ms).size());
}

TEST(request, that_was_cancelled_is_not_tried_again)
{
    it.actions.clear();
    CHECK_TRUE(cancel_request(state, it.header, it.actions));
    LONGS_EQUAL(1, all_of<send_to_target>(it.actions)[0].target.value);
    LONGS_EQUAL(0, tick_requests(state, it.now + 500ms).size());
    LONGS_EQUAL(0, retry({2}).size());
}

TEST(request, that_may_not_be_repeated_is_not_tracked)
{
    it.header.request = {2};
    it.header.repeatable = false;
    send();
    LONGS_EQUAL(1, state.by_key.size());
}

TEST(request, is_forgotten_at_its_deadline)
{
    tick_requests(state, it.now + 2s);
    LONGS_EQUAL(0, state.by_key.size());
    LONGS_EQUAL(0, state.agenda.size());
}

TEST(request, beyond_the_bound_is_sent_once)
{
    state.options.most_requests = 1;
    it.header.request = {2};
    send();
    check_verdict(request_verdict::untracked, packet_kind::refusal);
}

TEST_GROUP(retry)
{
    retry_budgets budgets;
};

TEST(retry, ten_first_tries_earn_one)
{
    for (int i = 0; i < 9; ++i)
    {
        earn_retry(budgets, {1}, {1});
    }
    CHECK_FALSE(take_retry(budgets, {1}, {1}));
    earn_retry(budgets, {1}, {1});
    earn_retry(budgets, {1}, {1});
    CHECK_TRUE(take_retry(budgets, {1}, {1}));
    CHECK_FALSE(take_retry(budgets, {1}, {1}));
}

TEST(retry, one_class_does_not_spend_what_another_earned)
{
    for (int i = 0; i < 20; ++i)
    {
        earn_retry(budgets, {1}, {1});
    }
    CHECK_FALSE(take_retry(budgets, {1}, {2}));
    CHECK_FALSE(take_retry(budgets, {2}, {1}));
}

TEST(retry, what_is_saved_up_has_a_bound)
{
    budgets.options.most_saved = 2;
    for (int i = 0; i < 1000; ++i)
    {
        earn_retry(budgets, {1}, {1});
    }
    int taken = 0;
    while (take_retry(budgets, {1}, {1}))
    {
        ++taken;
    }
    LONGS_EQUAL(2, taken);
}
