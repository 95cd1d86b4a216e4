/// \file
/// Submissions that may not be repeated: sent at most once, and told the truth about.

#include "submission_fixture.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(submission)
{
    submission_fixture it;

    void setup() override
    {
        violation_policy_is(violation_policy::abort);
    }

    void teardown() override
    {
        violation_policy_is(violation_policy::count);
    }

    void check_sent(std::size_t count)
    {
        LONGS_EQUAL(count, all_of<send_to_target>(it.actions).size());
    }

    void check_told(request_outcome outcome, refusal_reason reason)
    {
        const auto told = all_of<send_to_caller>(it.actions);
        LONGS_EQUAL(1, told.size());
        LONGS_EQUAL(static_cast<int>(packet_kind::refusal),
                    static_cast<int>(told[0].header.kind));
        LONGS_EQUAL(static_cast<int>(outcome), static_cast<int>(told[0].header.outcome));
        LONGS_EQUAL(static_cast<int>(reason), static_cast<int>(told[0].header.reason));
    }

    void check_passed_to(instance_id peer)
    {
        const auto passed = all_of<pass_to_peer>(it.actions);
        LONGS_EQUAL(1, passed.size());
        LONGS_EQUAL(peer.value, passed[0].peer.value);
        LONGS_EQUAL(it.header.hops + 1, passed[0].header.hops);
    }

    /// Lets \p holder answer a request for votes in advance.
    void vote_in_advance(instance_id holder)
    {
        it.state.options.claims_per_second = 0;
        it.refuse();
        it.pass(20ms);
        it.actions.clear();
        receive_claim_reply(it.state, it.context(), holder,
                            {.key = every_key(it.state.advance.sequence),
                             .valid = true,
                             .coordinator = it.view.self,
                             .roster = {1}},
                            it.actions);
    }

    /// Claims the submission at its first holder and lets the second one grant it.
    void send()
    {
        it.route();
        it.run();
        it.reply(it.holders[1], it.holders[0]);
        check_sent(1);
    }
};

TEST(submission, the_first_holder_that_is_alive_coordinates)
{
    LONGS_EQUAL(static_cast<int>(submission_route::coordinate),
                static_cast<int>(it.route()));
    it.become(1);
    it.route();
    check_passed_to(it.holders[0]);
    it.kill(it.holders[0]);
    LONGS_EQUAL(static_cast<int>(submission_route::coordinate),
                static_cast<int>(it.route()));
}

TEST(submission, nothing_is_sent_before_a_majority_holds_the_claim)
{
    it.route();
    it.run();
    check_sent(0);
    const auto asked = all_of<send_to_peer>(it.actions);
    LONGS_EQUAL(1, asked.size());
    LONGS_EQUAL(it.holders[1].value, asked[0].peer.value);
    it.reply(it.holders[1], it.holders[0]);
    check_sent(1);
}

TEST(submission, a_late_grant_does_not_send_it_again)
{
    send();
    it.reply(it.holders[2], it.holders[0]);
    check_sent(0);
}

TEST(submission, a_holder_that_does_not_answer_is_replaced_by_the_third)
{
    it.route();
    it.run();
    it.pass(20ms);
    LONGS_EQUAL(2, all_of<send_to_peer>(it.actions).size());
    it.reply(it.holders[2], it.holders[0]);
    check_sent(1);
}

TEST(submission, one_that_lost_to_a_dead_coordinator_is_unknown)
{
    it.route();
    it.run();
    it.kill(it.holders[1]);
    it.reply(it.holders[1], it.holders[1]);
    it.reply(it.holders[2], it.holders[1]);
    check_sent(0);
    check_told(request_outcome::unknown, refusal_reason::no_quorum);
}

TEST(submission, one_that_lost_to_a_living_coordinator_is_left_to_it)
{
    it.route();
    it.run();
    it.reply(it.holders[1], it.holders[1]);
    it.reply(it.holders[2], it.holders[1]);
    LONGS_EQUAL(0, it.actions.size());
    it.route();
    LONGS_EQUAL(1, all_of<drop_packet>(it.actions).size());
    it.pass(2s);
    it.route();
    check_passed_to(it.holders[1]);
}

TEST(submission, three_claims_that_exclude_each_other_are_not_run)
{
    it.route();
    it.run();
    it.reply(it.holders[1], it.holders[1]);
    it.reply(it.holders[2], it.holders[2]);
    check_told(request_outcome::not_run, refusal_reason::no_quorum);
}

TEST(submission, without_a_majority_it_is_unknown)
{
    it.route();
    it.run();
    it.pass(500ms);
    check_told(request_outcome::unknown, refusal_reason::no_quorum);
    it.reply(it.holders[1], it.holders[0]);
    check_sent(0);
}

TEST(submission, a_claim_won_after_the_deadline_is_not_run)
{
    it.state.options.most_rounds = 1000;
    it.route();
    it.run();
    it.pass(1990ms);
    it.now += 10ms;
    it.reply(it.holders[1], it.holders[0]);
    check_sent(0);
    check_told(request_outcome::not_run, refusal_reason::deadline_passed);
}

TEST(submission, an_early_refusal_is_told_once_a_majority_holds_it)
{
    it.route();
    it.refuse();
    LONGS_EQUAL(0, all_of<send_to_caller>(it.actions).size());
    it.reply(it.holders[1], it.holders[0], claim_decision::refuse);
    check_told(request_outcome::not_run, refusal_reason::overload);
}

TEST(submission, early_refusals_beyond_the_allowance_are_unknown)
{
    it.state.options.claims_per_second = 1;
    it.route();
    it.refuse();
    it.header.request = {2};
    it.refuse();
    check_told(request_outcome::unknown, refusal_reason::overload);
    LONGS_EQUAL(0, all_of<send_to_peer>(it.actions).size());
}

TEST(submission, one_with_votes_in_advance_is_decided_without_a_message)
{
    vote_in_advance(it.holders[1]);
    it.route();
    it.run();
    check_sent(1);
    LONGS_EQUAL(0, all_of<send_to_peer>(it.actions).size());
}

TEST(submission, a_vote_in_advance_does_not_count_after_its_time)
{
    vote_in_advance(it.holders[1]);
    it.now += 4s;
    it.run();
    check_sent(0);
}

TEST(submission, a_vote_in_advance_does_not_count_for_keys_of_other_first_holders)
{
    vote_in_advance(it.holders[1]);
    std::swap(it.holders[0], it.holders[1]);
    it.become(0);
    it.run();
    check_sent(0);
}

TEST(submission, votes_are_asked_for_in_advance_once_there_are_too_many_claims)
{
    it.pass(20ms);
    LONGS_EQUAL(0, all_of<send_to_peer>(it.actions).size());
    it.state.options.claims_per_second = 0;
    it.refuse();
    it.pass(20ms);
    LONGS_EQUAL(4, all_of<send_to_peer>(it.actions).size());
    it.pass(1480ms);
    LONGS_EQUAL(0, all_of<send_to_peer>(it.actions).size());
    it.pass(20ms);
    LONGS_EQUAL(4, all_of<send_to_peer>(it.actions).size());
}

TEST(submission, a_copy_of_one_in_progress_is_absorbed)
{
    it.route();
    it.run();
    it.route();
    LONGS_EQUAL(1, all_of<drop_packet>(it.actions).size());
    it.reply(it.holders[1], it.holders[0]);
    it.route();
    LONGS_EQUAL(1, all_of<drop_packet>(it.actions).size());
}

TEST(submission, a_copy_of_one_that_was_answered_gets_the_answer_again)
{
    send();
    it.answer(it.answer_header());
    it.route();
    const auto told = all_of<send_to_caller>(it.actions);
    LONGS_EQUAL(1, told.size());
    LONGS_EQUAL(static_cast<int>(packet_kind::answer),
                static_cast<int>(told[0].header.kind));
}

TEST(submission, a_copy_from_another_address_does_not_get_the_answer)
{
    send();
    it.answer(it.answer_header());
    it.header.return_path.port = 3;
    it.route();
    check_told(request_outcome::unknown, refusal_reason::duplicate);
}

TEST(submission, a_holder_that_knows_a_dead_coordinators_claim_says_unknown)
{
    it.become(1);
    it.kill(it.holders[0]);
    receive_claim(it.state.records, it.view, it.holders[0],
                  {.key = key_of(it.header),
                   .coordinator = it.holders[0],
                   .roster = {1},
                   .keep = 4s},
                  it.now, it.actions);
    it.route();
    check_told(request_outcome::unknown, refusal_reason::duplicate);
}

TEST(submission, an_instance_that_restarted_passes_submissions_to_the_next_holder)
{
    it.view.started = it.now - 1s;
    it.header.hops = 1;
    it.route();
    check_passed_to(it.holders[1]);
}

TEST(submission, an_instance_that_hears_no_majority_does_not_coordinate)
{
    for (int i = 0; i < 6; ++i)
    {
        it.now += 500ms;
        tick_roster(it.view, it.now);
    }
    it.header.hops = 2;
    it.route();
    check_passed_to(it.holders[1]);
    it.header.hops = 3;
    it.route();
    check_told(request_outcome::unknown, refusal_reason::no_quorum);
}

TEST(submission, one_that_may_have_waited_through_a_pause_is_dropped)
{
    it.now += 501ms;
    it.route();
    LONGS_EQUAL(1, all_of<drop_packet>(it.actions).size());
    tick_roster(it.view, it.now);
    it.now += 499ms;
    it.route();
    LONGS_EQUAL(1, all_of<drop_packet>(it.actions).size());
}

TEST(submission, the_refusal_of_its_target_is_told_as_it_is)
{
    send();
    packet_header shed = it.answer_header();
    shed.kind = packet_kind::refusal;
    shed.outcome = request_outcome::not_run;
    shed.reason = refusal_reason::target_shed;
    it.answer(shed);
    check_told(request_outcome::not_run, refusal_reason::target_shed);
    it.route();
    check_told(request_outcome::not_run, refusal_reason::target_shed);
}

TEST(submission, a_refusal_behind_a_part_of_the_answer_is_dropped)
{
    send();
    packet_header part = it.answer_header();
    part.fragments = 2;
    it.answer(part);
    part.kind = packet_kind::refusal;
    part.outcome = request_outcome::not_run;
    it.answer(part);
    LONGS_EQUAL(1, all_of<drop_packet>(it.actions).size());
}

TEST(submission, an_answer_of_another_target_or_path_or_request_is_dropped)
{
    send();
    packet_header stray = it.answer_header();
    stray.return_path.port = 9;
    it.answer(stray);
    LONGS_EQUAL(0, all_of<send_to_caller>(it.actions).size());
    stray = it.answer_header();
    stray.request = {2};
    it.answer(stray);
    LONGS_EQUAL(0, all_of<send_to_caller>(it.actions).size());
    it.actions.clear();
    receive_submission_answer(it.state, {78}, it.answer_header(), {}, it.now, it.actions);
    LONGS_EQUAL(0, all_of<send_to_caller>(it.actions).size());
}

TEST(submission, fragments_pass_once_each_and_in_any_order)
{
    send();
    packet_header part = it.answer_header();
    part.fragments = 3;
    std::size_t passed = 0;
    for (const std::uint32_t fragment : {2U, 0U, 0U, 2U, 1U, 1U})
    {
        part.fragment = fragment;
        it.answer(part);
        passed += all_of<send_to_caller>(it.actions).size();
    }
    LONGS_EQUAL(3, passed);
}

TEST(submission, one_that_its_target_does_not_answer_is_unknown_at_the_deadline)
{
    send();
    it.pass(1999ms);
    LONGS_EQUAL(0, it.actions.size());
    it.pass(1ms);
    check_told(request_outcome::unknown, refusal_reason::deadline_passed);
    it.answer(it.answer_header());
    LONGS_EQUAL(0, all_of<send_to_caller>(it.actions).size());
}

TEST(submission, a_cancelled_one_is_not_sent)
{
    it.route();
    it.run();
    it.actions.clear();
    cancel_submission(it.state, it.context(), it.header, it.actions);
    it.reply(it.holders[1], it.holders[0]);
    check_sent(0);
    check_told(request_outcome::not_run, refusal_reason::no_quorum);
}

TEST(submission, a_cancellation_follows_one_that_was_sent)
{
    send();
    it.actions.clear();
    packet_header cancel = it.header;
    cancel.kind = packet_kind::cancel;
    cancel_submission(it.state, it.context(), cancel, it.actions);
    const auto sent = all_of<send_to_target>(it.actions);
    LONGS_EQUAL(1, sent.size());
    LONGS_EQUAL(it.target.value, sent[0].target.value);
}

TEST(submission, a_full_table_answers_unknown_and_evicts_nothing)
{
    it.state.options.most_submissions = 1;
    send();
    it.header.request = {2};
    it.run();
    check_told(request_outcome::unknown, refusal_reason::table_full);
    it.header.request = {1};
    it.answer(it.answer_header());
    LONGS_EQUAL(1, all_of<send_to_caller>(it.actions).size());
}

TEST(submission, everything_is_forgotten_once_no_copy_can_arrive)
{
    send();
    it.pass(6001ms);
    LONGS_EQUAL(0, it.state.by_key.size());
    LONGS_EQUAL(0, it.state.agenda.size());
    LONGS_EQUAL(0, it.state.records.by_key.size());
    LONGS_EQUAL(0, it.state.records.expiries.size());
    LONGS_EQUAL(0, it.state.waiting_bytes);
}
