/// \file
/// Tests of flows whose opening reached two targets that both answer, with callers that
/// put the token of the last packet that they received into their own.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/token_corrections.hpp>

#include <array>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<std::byte, 3> datagram{std::byte{1}, std::byte{2}, std::byte{3}};
constexpr endpoint caller{.address = 0x64400007, .port = 1000};

/// One instance: its flow table and the openings that it keeps.
struct steering_instance
{
    flow_steering steering{.pins_flows = true};
    token_corrections corrections{.is_on = true};
    second_tries tries;
};

} // namespace

TEST_GROUP(token_corrections)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    steering_instance first;
    steering_instance second;
    /// The token that each target last received.
    std::map<target_index, flow_token> token_at;
    /// The token of the last packet that the caller received.
    flow_token callers_token;

    void setup() override
    {
        for (steering_instance* const each : {&first, &second})
        {
            each->steering.selector.local_data_centre = north;
        }
        apply_change(directory, announcement(1, 10), now);
        apply_change(directory, announcement(2, 11), now);
    }

    target_index index_of(std::uint64_t key) const
    {
        return directory.by_entry.at(key);
    }

    /// The opening of flow 1000 goes to the target with \p key through \p instance.
    void open_at(steering_instance & instance, std::uint64_t key)
    {
        keep_opening(instance.corrections, directory, opening(1000), datagram, caller,
                     index_of(key), now);
        token_at[index_of(key)] = token_of({key});
    }

    /// The opening passes \p instance, which places it on the target that it chooses.
    target_index place(steering_instance & instance, duration age = duration(0))
    {
        const steering_decision placed =
            steer(instance.steering, table, directory, opening(1000, age), now);
        keep_opening(instance.corrections, directory, opening(1000, age), datagram,
                     caller, placed.target, now);
        token_at[placed.target] = placed.token;
        return placed.target;
    }

    /// The caller's second copy, of a flow that \p instance does not know, is placed on
    /// \p target.
    void open_at_copy(steering_instance & instance, target_index target)
    {
        place(instance, 200ms);
        tracked_flow& flow = instance.steering.flows.at(1000);
        flow.target = target;
        flow.key = directory.targets[target].record.key;
        instance.corrections = {.is_on = true};
        keep_opening(instance.corrections, directory, opening(1000, 200ms), datagram,
                     caller, target, now);
        token_at[target] = directory.targets[target].token;
    }

    bool must_tell(const steering_instance& instance) const
    {
        return must_tell_peers(instance.corrections, instance.tries, instance.steering,
                               continuation(1000, callers_token), now);
    }

    /// The caller receives a packet of the target with \p key.
    void receive_from(target_index target)
    {
        callers_token = token_at.at(target);
    }

    /// The caller sends a packet through \p instance. Returns the target that gets it.
    target_index send(steering_instance & instance, bool has_payload)
    {
        flow_packet packet = continuation(1000, callers_token);
        packet.has_payload = has_payload;
        const steering_decision decision =
            steer(instance.steering, table, directory, packet, now);
        CHECK_TRUE(decision.verdict == steering_verdict::forward);
        token_at[decision.target] = decision.token;
        for (const target_index each : corrections_due(instance.corrections, directory,
                                                       packet, decision.target, now))
        {
            token_at[each] = decision.token;
        }
        return decision.target;
    }

    target_index other_than(target_index target) const
    {
        return target == index_of(1) ? index_of(2) : index_of(1);
    }

    /// Opens flow 1000 at the target that the first instance chooses, while the other
    /// target gets the opening as well. Returns the target that has the flow.
    target_index open_with_second_try()
    {
        const target_index winner = place(first);
        place_second_try(first.steering, directory, {1000}, first.steering.flows.at(1000),
                         other_than(winner), now);
        open_at(first, directory.targets[other_than(winner)].record.key.value);
        now += 10ms;
        receive_from(winner);
        send(first, false);
        return winner;
    }
};

// Guards against a flow that is moved, after the fabric rehashed, to a target that lost
// the race for it and still repeats its answer.
TEST(token_corrections, a_late_answer_does_not_move_a_flow_at_another_instance)
{
    const target_index winner = open_with_second_try();
    receive_from(other_than(winner));
    LONGS_EQUAL(winner, send(second, true));
}

TEST(token_corrections, a_late_answer_does_not_move_a_flow_at_its_own_instance)
{
    const target_index winner = open_with_second_try();
    callers_token = directory.targets[other_than(winner)].token;
    LONGS_EQUAL(winner, send(first, true));
    LONGS_EQUAL(winner, send(first, true));
}

TEST(token_corrections, hold_when_the_copies_of_an_opening_pass_two_instances)
{
    const target_index late = place(first);
    // The fabric rehashes, and the caller's copy is placed elsewhere.
    now += 200ms;
    const target_index winner = other_than(late);
    steer(second.steering, table, directory, opening(1000, 200ms), now);
    second.steering.flows.at(1000).target = winner;
    second.steering.flows.at(1000).key = directory.targets[winner].record.key;
    open_at(second, directory.targets[winner].record.key.value);
    receive_from(winner);
    LONGS_EQUAL(winner, send(second, false));
    // The first target's answer arrives late, and its token shows that it has one.
    receive_from(late);
    LONGS_EQUAL(winner, send(second, true));
    steering_instance third;
    third.steering.selector.local_data_centre = north;
    receive_from(late);
    LONGS_EQUAL(winner, send(third, true));
}

// An opening that waited in a queue is placed when another instance has placed its copy.
TEST(token_corrections, hold_when_an_opening_that_waited_is_placed_late)
{
    const target_index winner = place(second);
    receive_from(winner);
    send(second, false);
    now += 500ms;
    open_at(first, directory.targets[other_than(winner)].record.key.value);
    receive_from(other_than(winner));
    LONGS_EQUAL(winner, send(second, true));
    receive_from(other_than(winner));
    steering_instance third;
    third.steering.selector.local_data_centre = north;
    LONGS_EQUAL(winner, send(third, true));
}

TEST(token_corrections, are_sent_with_the_first_two_packets_as_one_may_be_lost)
{
    const target_index winner = open_with_second_try();
    UNSIGNED_LONGS_EQUAL(1, first.corrections.sent);
    send(first, true);
    UNSIGNED_LONGS_EQUAL(2, first.corrections.sent);
    send(first, true);
    UNSIGNED_LONGS_EQUAL(2, first.corrections.sent);
    // A correction was lost.
    now += 1s;
    callers_token = directory.targets[other_than(winner)].token;
    send(first, true);
    send(first, true);
    UNSIGNED_LONGS_EQUAL(3, first.corrections.sent);
    UNSIGNED_LONGS_EQUAL(2, first.corrections.wrong_tokens);
}

TEST(token_corrections, none_is_sent_for_an_opening_that_reached_one_target)
{
    receive_from(place(first));
    send(first, false);
    send(first, true);
    UNSIGNED_LONGS_EQUAL(0, first.corrections.sent);
}

// There the opening might open a flow.
TEST(token_corrections, none_is_sent_to_a_target_that_takes_no_new_flows)
{
    const target_index winner = place(first);
    const std::uint64_t other = directory.targets[other_than(winner)].record.key.value;
    open_at(first, other);
    target_change draining = announcement(other, 20);
    draining.record->is_draining = true;
    apply_change(directory, draining, now);
    receive_from(winner);
    send(first, false);
    UNSIGNED_LONGS_EQUAL(0, first.corrections.sent);
}

TEST(token_corrections, none_is_sent_for_the_end_of_a_flow)
{
    const target_index winner = open_with_second_try();
    flow_packet end = ending(1000, directory.targets[winner].token);
    LONGS_EQUAL(0,
                corrections_due(first.corrections, directory, end, winner, now).size());
}

TEST(token_corrections, need_the_opening_as_the_caller_wrote_it)
{
    open_with_second_try();
    const kept_opening* const kept = find_opening(first.corrections, {1000});
    CHECK_TRUE(kept != nullptr);
    CHECK_TRUE(std::ranges::equal(kept->datagram, datagram));
    CHECK_TRUE(kept->source == caller);
}

TEST(token_corrections, end_when_no_target_repeats_its_answer_any_more)
{
    open_with_second_try();
    now = time_point(100s) + unacknowledged_answer_time;
    forget_old_openings(first.corrections, now);
    CHECK_TRUE(find_opening(first.corrections, {1000}) == nullptr);
    CHECK_TRUE(first.corrections.by_age.empty());
}

TEST(token_corrections, belong_to_the_last_opening_of_a_flow)
{
    open_with_second_try();
    now += opening_lifetime;
    open_at(first, 1);
    UNSIGNED_LONGS_EQUAL(1, find_opening(first.corrections, {1000})->targets.size());
    now = time_point(100s) + unacknowledged_answer_time;
    forget_old_openings(first.corrections, now);
    CHECK_TRUE(find_opening(first.corrections, {1000}) != nullptr);
}

TEST(token_corrections, are_bounded)
{
    for (std::uint64_t flow = 0; flow <= max_kept_openings; ++flow)
    {
        keep_opening(first.corrections, directory,
                     flow_packet{.flow = {flow}, .is_opening = true}, datagram, caller,
                     index_of(1), now);
    }
    UNSIGNED_LONGS_EQUAL(max_kept_openings, first.corrections.openings.size());
}

TEST(token_corrections, keep_nothing_while_they_are_off)
{
    token_corrections off;
    keep_opening(off, directory, opening(1000), datagram, caller, index_of(1), now);
    CHECK_TRUE(off.openings.empty());
}

// Guards against a flow that moves, after a second rehash, to the target on which an
// instance placed the first copy of its opening before the first rehash.
TEST(token_corrections, reach_the_target_that_another_instance_chose)
{
    const target_index late = place(first);
    now += 200ms;
    const target_index winner = other_than(late);
    open_at_copy(second, winner);
    receive_from(winner);
    CHECK_TRUE(must_tell(second));
    send(second, false);
    const flow_notice notice{.flow = {1000}, .target = directory.targets[winner].token};
    for (const target_index each :
         apply_flow_notice(first.corrections, first.steering, directory, notice, now))
    {
        token_at[each] = notice.target;
    }
    receive_from(late);
    steering_instance third;
    third.steering.selector.local_data_centre = north;
    LONGS_EQUAL(winner, send(third, true));
    // A packet that was under way with the old token, at the instance that was told.
    callers_token = directory.targets[late].token;
    LONGS_EQUAL(winner, send(first, true));
}

TEST(token_corrections, are_no_matter_of_peers_without_a_sign_of_another_placement)
{
    place(first);
    receive_from(index_of(first.steering.flows.at(1000).key.value));
    CHECK_FALSE(must_tell(first));
    open_at_copy(second, index_of(1));
    receive_from(index_of(1));
    second.tries.fleet_changed_at = now - 1min;
    CHECK_FALSE(must_tell(second));
    second.tries.fleet_changed_at = now;
    CHECK_TRUE(must_tell(second));
    send(second, false);
    send(second, true);
    CHECK_FALSE(must_tell(second));
}

TEST(token_corrections, a_notice_about_an_unknown_flow_or_target_changes_nothing)
{
    const target_index placed = place(first);
    const flow_notice unknown_flow{.flow = {7}, .target = token_of({1})};
    const flow_notice unknown_target{.flow = {1000}, .target = token_of({99})};
    for (const flow_notice& each : {unknown_flow, unknown_target})
    {
        CHECK_TRUE(
            apply_flow_notice(first.corrections, first.steering, directory, each, now)
                .empty());
    }
    CHECK_FALSE(first.steering.flows.at(1000).is_answered);
    LONGS_EQUAL(placed, first.steering.flows.at(1000).target);
}

TEST(token_corrections, a_late_notice_does_not_move_a_flow_that_was_answered_here)
{
    const target_index winner = open_with_second_try();
    const flow_notice notice{.flow = {1000},
                             .target = directory.targets[other_than(winner)].token};
    apply_flow_notice(first.corrections, first.steering, directory, notice, now);
    LONGS_EQUAL(winner, first.steering.flows.at(1000).target);
}
