/// \file
/// Tests of flows whose target has ended: the next target at its address shows it, or its
/// missing announcement together with a packet that it leaves unanswered.

#include "entry_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

/// Returns the announcement \p key at the address of \p other.
target_change announcement_at_address_of(std::uint64_t other, std::uint64_t key,
                                         std::uint64_t revision)
{
    target_change change = announcement(key, revision);
    change.record->address = announcement(other, revision).record->address;
    change.record->service = store;
    return change;
}

} // namespace

TEST_GROUP(ended_target)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory{.has_exclusive_addresses = true};
    flow_steering steering;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        apply_change(directory, announcement(1, 10), now);
    }

    /// Opens flow \p number at target 1 and returns its token.
    flow_token open_flow(std::uint16_t number)
    {
        const steering_decision placed =
            steer(steering, table, directory, opening(number), now);
        now += 6ms;
        steer(steering, table, directory, continuation(number, placed.token), now);
        return placed.token;
    }

    steering_verdict verdict_of(const flow_packet& packet)
    {
        return steer(steering, table, directory, packet, now).verdict;
    }

    /// Returns a packet of flow \p number at target 1 with the payload at \p position.
    static flow_packet payload(std::uint16_t number, std::uint32_t position)
    {
        flow_packet packet = continuation(number, token_of({1}));
        packet.has_payload = true;
        packet.payload_position = position;
        return packet;
    }

    bool is_replaced(std::uint64_t key)
    {
        return directory.targets[directory.by_key.at(key)].is_replaced;
    }
};

TEST(ended_target, resets_an_open_flow_once_another_target_has_its_address)
{
    const flow_token token = open_flow(1000);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::target_ended);
}

TEST(ended_target, resets_a_flow_that_was_opened_through_another_instance)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    const flow_token token = token_of({1});
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::target_ended);
    LONGS_EQUAL(0, steering.flows.size());
}

TEST(ended_target, forwards_the_last_packet_of_a_flow)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(verdict_of(ending(1000, token)) == steering_verdict::forward);
}

TEST(ended_target, is_no_load_after_the_reset)
{
    const flow_token token = open_flow(1000);
    flow_packet request = continuation(1000, token);
    request.has_payload = true;
    verdict_of(request);
    LONGS_EQUAL(1, steering.selector.stats[0].in_flight);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    verdict_of(request);
    LONGS_EQUAL(0, steering.selector.stats[0].in_flight);
}

TEST(ended_target, takes_no_new_flows_although_its_own_announcement_is_still_there)
{
    apply_change(directory, announcement(3, 15), now);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    // As many as target 3 has room for.
    for (std::uint16_t flow = 1000; flow < 1004; ++flow)
    {
        const steering_decision placed =
            steer(steering, table, directory, opening(flow), now);
        CHECK_TRUE(placed.verdict == steering_verdict::forward);
        LONGS_EQUAL(directory.by_key.at(3), placed.target);
    }
}

TEST(ended_target, is_told_by_revisions_whatever_the_order_of_arrival)
{
    target_directory late{.has_exclusive_addresses = true};
    apply_change(late, announcement_at_address_of(1, 2, 20), now);
    apply_change(late, announcement(1, 10), now);
    CHECK_TRUE(late.targets[late.by_key.at(1)].is_replaced);
    CHECK_FALSE(late.targets[late.by_key.at(2)].is_replaced);
}

TEST(ended_target, stays_ended_when_the_next_target_is_gone_too)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, departure(2, 30), now);
    CHECK_TRUE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
}

TEST(ended_target,
     resets_a_flow_that_it_leaves_unanswered_while_its_announcement_is_missing)
{
    open_flow(1000);
    verdict_of(payload(1000, 1));
    apply_change(directory, departure(1, 20), now);
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::target_ended);
}

TEST(ended_target, resets_such_a_flow_also_if_it_was_opened_through_another_instance)
{
    apply_change(directory, departure(1, 20), now);
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::target_ended);
}

TEST(ended_target, is_not_one_that_is_announced_and_leaves_a_packet_unanswered)
{
    open_flow(1000);
    for (int i = 0; i < 8; ++i)
    {
        CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
        now += 200ms;
    }
}

TEST(ended_target, is_not_one_that_answers_although_its_announcement_is_missing)
{
    open_flow(1000);
    apply_change(directory, departure(1, 20), now);
    for (std::uint32_t position = 1; position < 9; ++position)
    {
        CHECK_TRUE(verdict_of(payload(1000, position)) == steering_verdict::forward);
        now += 200ms;
    }
}

TEST(ended_target, is_not_told_by_a_copy_that_the_network_made)
{
    open_flow(1000);
    apply_change(directory, departure(1, 20), now);
    verdict_of(payload(1000, 1));
    now += 20ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

// Announcements that expire during an outage come back within the grace period.
TEST(ended_target, is_not_one_whose_announcement_may_have_expired_in_an_outage)
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
TEST(ended_target, is_not_one_whose_announcement_is_missing_for_a_while)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, departure(1, 20), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
    apply_change(directory, announcement(1, 30), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

// The late announcement of a target that ended before this one must not end it.
TEST(ended_target, is_not_one_that_was_announced_later_and_is_missing_for_a_while)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, departure(2, 30), now);
    apply_change(directory, announcement(1, 10), now);
    CHECK_FALSE(is_replaced(2));
}

TEST(ended_target, may_come_back_to_its_address)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, announcement(1, 30), now);
    CHECK_FALSE(is_replaced(1));
    CHECK_TRUE(is_replaced(2));
}

TEST(ended_target, keeps_its_flows_when_it_moves_to_another_address)
{
    const flow_token token = open_flow(1000);
    target_change moved = announcement(1, 20);
    moved.record->address.port = 9090;
    apply_change(directory, moved, now);
    apply_change(directory, announcement_at_address_of(1, 2, 30), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(ended_target, is_not_looked_for_unless_addresses_are_exclusive)
{
    directory = {};
    apply_change(directory, announcement(1, 10), now);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_FALSE(is_replaced(1));
    LONGS_EQUAL(0, directory.by_address.size());
    apply_change(directory, departure(1, 30), now);
    verdict_of(payload(1000, 1));
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

TEST(ended_target, leaves_no_entry_for_its_address_when_it_is_forgotten)
{
    apply_change(directory, departure(1, 20), now);
    directory.position = {20};
    now += gone_target_retention;
    remove_gone_targets(directory, now);
    LONGS_EQUAL(0, directory.by_address.size());
}
