/// \file
/// Tests of flows whose target is no longer announced and leaves a packet unanswered.

#include "ended_target_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(missing_target, ended_target_fixture){};

TEST(missing_target,
     resets_a_flow_that_it_leaves_unanswered_while_its_announcement_is_missing)
{
    open_flow(1000);
    verdict_of(payload(1000, 1));
    apply_change(directory, departure(1, 20), now);
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::target_ended);
}

TEST(missing_target, resets_such_a_flow_also_if_it_was_opened_through_another_instance)
{
    apply_change(directory, departure(1, 20), now);
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::target_ended);
}

TEST(missing_target, is_not_one_that_is_announced_and_leaves_a_packet_unanswered)
{
    open_flow(1000);
    for (int i = 0; i < 8; ++i)
    {
        CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
        now += 200ms;
    }
}

TEST(missing_target, is_not_one_that_answers_although_its_announcement_is_missing)
{
    open_flow(1000);
    apply_change(directory, departure(1, 20), now);
    for (std::uint32_t position = 1; position < 9; ++position)
    {
        CHECK_TRUE(verdict_of(payload(1000, position)) == steering_verdict::forward);
        now += 200ms;
    }
}

TEST(missing_target, is_not_told_by_a_copy_that_the_network_made)
{
    open_flow(1000);
    apply_change(directory, departure(1, 20), now);
    verdict_of(payload(1000, 1));
    now += 20ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

// Announcements that expire during an outage come back within the grace period.
TEST(missing_target, is_not_one_whose_announcement_may_have_expired_in_an_outage)
{
    open_flow(1000);
    record_outage_end(directory, 10s, now);
    apply_change(directory, departure(1, 20), now);
    verdict_of(payload(1000, 1));
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
    now += expiry_grace;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::target_ended);
}

// Its announcement may expire while the store is down, and comes back.
TEST(missing_target, is_not_one_whose_announcement_is_missing_for_a_while)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, departure(1, 20), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
    apply_change(directory, announcement(1, 30), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

// The link to it may lose an acknowledgement of an upload.
TEST(missing_target, is_not_one_that_is_drained_and_leaves_a_packet_unanswered)
{
    target_change draining = announcement(1, 20);
    draining.record->is_draining = true;
    open_flow(1000);
    apply_change(directory, draining, now);
    verdict_of(payload(1000, 1));
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

// A drained target may leave the store before its last flows end.
TEST(missing_target, is_not_one_that_was_drained_when_its_announcement_went)
{
    target_change draining = announcement(1, 20);
    draining.record->is_draining = true;
    open_flow(1000);
    apply_change(directory, draining, now);
    apply_change(directory, departure(1, 30), now);
    verdict_of(payload(1000, 1));
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

// It may be running still: the peer that reports it gone knows of the outage, this
// instance does not.
TEST(missing_target, is_not_at_once_one_that_an_instance_has_never_known_as_announced)
{
    target_change gone = announcement(1, 30);
    gone.is_gone = true;
    target_directory late = exclusive_directory();
    apply_change(late, gone, now);
    const auto verdict = [&]
    {
        return steer(steering, table, late, payload(1000, 1), now).verdict;
    };
    verdict();
    now += 200ms;
    CHECK_TRUE(verdict() == steering_verdict::forward);
    now += expiry_grace;
    CHECK_TRUE(verdict() == steering_verdict::target_ended);
}

TEST(missing_target, is_not_told_by_a_payload_at_the_position_of_an_earlier_flows_one)
{
    apply_change(directory, announcement(3, 15), now);
    open_flow(1000);
    verdict_of(payload(1000, 1));
    verdict_of(ending(1000, token_of({1})));
    now += 1s;
    // The caller uses the port again, through another instance.
    apply_change(directory, departure(3, 20), now);
    flow_packet request = payload(1000, 1);
    request.token = token_of({3});
    CHECK_TRUE(verdict_of(request) == steering_verdict::forward);
}

// The target may have announced itself again, which this instance cannot learn.
TEST(missing_target,
     is_not_told_by_a_missing_announcement_while_the_store_is_out_of_reach)
{
    entry_instance self = make_entry_instance(
        {.self = {1}, .local_data_centre = north, .has_exclusive_addresses = true});
    const auto verdict = [&]
    {
        return steer(self.steering, table, self.directory, payload(1000, 1), now).verdict;
    };
    apply_state_update(
        self, {.position = {10}, .is_whole = true, .targets = {announcement(1, 10)}},
        now);
    apply_state_update(
        self, {.position = {20}, .complete_from = {10}, .targets = {departure(1, 20)}},
        now);
    record_state_read(self, now, now);
    now += 10s;
    tick(self, now);
    verdict();
    now += 200ms;
    CHECK_TRUE(verdict() == steering_verdict::forward);

    // It may take a moment to do so after the outage, too.
    record_state_read(self, now, now);
    tick(self, now);
    CHECK_TRUE(verdict() == steering_verdict::forward);
    now += expiry_grace;
    CHECK_TRUE(verdict() == steering_verdict::target_ended);
}

TEST(missing_target, is_not_one_that_a_peer_reports_gone_just_after_an_outage)
{
    entry_instance self = make_entry_instance(
        {.self = {1}, .local_data_centre = north, .has_exclusive_addresses = true});
    const auto verdict = [&]
    {
        return steer(self.steering, table, self.directory, payload(1000, 1), now).verdict;
    };
    apply_state_update(
        self, {.position = {10}, .is_whole = true, .targets = {announcement(1, 10)}},
        now);
    record_state_read(self, now, now);
    now += 10s;
    const state_reply reply{.update = {.position = {20},
                                       .complete_from = {10},
                                       .targets = {departure(1, 20)}}};
    apply_peer_reply(self, {2}, reply, nullptr, now);
    verdict();
    now += 200ms;
    CHECK_TRUE(verdict() == steering_verdict::forward);
}
