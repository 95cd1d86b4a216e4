/// \file
/// Tests of which unanswered openings get a second try, when, and how many.

#include "second_tries_fixture.hpp"

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(second_tries, second_tries_fixture){};

TEST(second_tries, off_keeps_nothing)
{
    second_tries off;
    record_opening(off, table, directory, steering, opening(1), {}, {}, 0, now);
    CHECK_TRUE(off.pending.empty());
    CHECK_TRUE(off.listeners.empty());
    CHECK_FALSE(next_due(off).has_value());
}

// Failure: a fifth of the targets falls silent, one fifth after the other. Their openings
// go to others before the caller's first retransmission, and they still become suspect.
TEST(second_tries, openings_to_a_silent_fifth_of_the_targets_go_to_others)
{
    std::size_t silent_openings = 0;
    std::size_t rescued = 0;
    for (target_index first = 0; first < 10; first += 2)
    {
        const auto is_silent = [&](target_index target)
        {
            return target == first || target == first + 1;
        };
        for (int i = 0; i < 60; ++i)
        {
            const std::uint16_t flow = next_flow++;
            const target_index target = place(flow).target;
            sent.clear();
            silent_openings += is_silent(target) ? 1U : 0U;
            pass(is_silent(target) ? 199ms : 5ms);
            const target_index last =
                sent.empty() ? target : sent.front().decision.target;
            if (!is_silent(last))
            {
                rescued += is_silent(target) ? 1U : 0U;
                acknowledge(flow, last);
                end(flow, last);
            }
        }
        for (const target_index each : {first, first + 1})
        {
            CHECK_TRUE(is_suspect(steering.selector.stats[each]));
            record_opening_answered(steering.selector, directory, each, now, now);
        }
    }
    CHECK_TRUE(silent_openings > 10);
    CHECK_TRUE(rescued * 5 >= silent_openings * 4);
    CHECK_TRUE(static_cast<double>(counts().sent) <=
               tries.share * static_cast<double>(counts().openings));
    UNSIGNED_LONGS_EQUAL(rescued, counts().won);
}

// Failure: the targets of the first and of the second try are silent, and the caller's
// own copy arrives when the second one becomes overdue. The copy goes to a third target,
// which must not be blamed for the second one.
TEST(second_tries, the_target_that_left_an_opening_unanswered_is_the_one_that_is_overdue)
{
    const std::uint16_t flow = next_flow++;
    place(flow);
    while (sent.empty())
    {
        pass(1ms);
    }
    const target_index second = sent.front().decision.target;
    now += opening_timeout(steering.selector);
    const target_index third = place(flow, 200ms).target;
    review_flows(steering, directory, now);
    CHECK_TRUE(third != second);
    UNSIGNED_LONGS_EQUAL(1, steering.selector.stats[second].overdue_openings);
    UNSIGNED_LONGS_EQUAL(0, steering.selector.stats[third].overdue_openings);
}

// Load: all targets answer openings slowly, with a wide spread. A second try says nothing
// then, so at most a hundredth of the openings gets one.
TEST(second_tries, a_slow_but_sound_fleet_gets_hardly_any)
{
    tries.times.clear();
    std::uint64_t random = 1;
    for (int i = 0; i < 2000; ++i)
    {
        random = hash_pair(random, 1);
        answer_openings(1, 20ms + std::chrono::milliseconds(random % 40));
    }
    CHECK_TRUE(sent.size() * 100 <= 2000);
    // A target that stays silent gets a second try in this fleet as well.
    const std::size_t sent_before = sent.size();
    place(next_flow++);
    pass(max_opening_timeout);
    UNSIGNED_LONGS_EQUAL(sent_before + 1, sent.size());
}

// Failure: targets fall silent soon after the start, when the listener has had few
// openings. The saved budget is bounded all the same.
TEST(second_tries, a_listener_starts_with_all_that_it_may_save)
{
    tries.listeners.clear();
    place(next_flow++);
    const double first = counts().tokens;
    CHECK_TRUE(first >= 1);
    answer_openings(3000, 1ms);
    CHECK_TRUE(counts().tokens <= first);
}

// The smallest limit still lets one second try through at times.
TEST(second_tries, a_small_limit_saves_one_whole_second_try)
{
    tries.share = 0.0001;
    tries.listeners.clear();
    leave_unanswered();
    UNSIGNED_LONGS_EQUAL(1, sent.size());
}

// Change: the first target's data centre is drained in between. The caller may have
// another target, and the flow is counted once.
TEST(second_tries, an_opening_at_a_target_that_has_left_still_gets_one)
{
    remove(place(next_flow++).target);
    pass(199ms);
    UNSIGNED_LONGS_EQUAL(1, sent.size());
    UNSIGNED_LONGS_EQUAL(1, total_in_flight());
}

// Load: a flood of openings that are not answered.
TEST(second_tries, the_table_of_openings_is_bounded)
{
    for (std::size_t i = 0; i < max_pending_second_tries + 10; ++i)
    {
        flow_packet packet = opening(next_flow);
        packet.flow = {100'000 + i};
        steering.flows[packet.flow.value] = {};
        record_opening(tries, table, directory, steering, packet,
                       std::vector<std::byte>(32), packet.caller, 0, now);
    }
    UNSIGNED_LONGS_EQUAL(max_pending_second_tries, tries.pending.size());
    UNSIGNED_LONGS_EQUAL(max_pending_second_tries, tries.due.size());
    pass(199ms);
    CHECK_TRUE(tries.pending.empty());
    CHECK_TRUE(tries.due.empty());
}

// Load: more listeners than are kept.
TEST(second_tries, the_table_of_listeners_is_bounded)
{
    for (std::uint32_t i = 0; i < max_listeners_with_second_tries + 10; ++i)
    {
        flow_packet packet = opening(1);
        packet.flow = {i};
        packet.listener.address = i;
        record_opening(tries, table, directory, steering, packet, {}, {}, 0, now);
    }
    UNSIGNED_LONGS_EQUAL(max_listeners_with_second_tries, tries.listeners.size());
}

TEST(second_tries, the_delay_follows_the_measured_times)
{
    opening_times& times = tries.times[north];
    times = {};
    CHECK_TRUE(second_try_delay(tries, north, false, 77ms) == 77ms);
    for (int i = 0; i < 100; ++i)
    {
        const duration time = i < 94 ? 10ms : i < 98 ? 30ms : 90ms;
        const std::uint16_t flow = next_flow++;
        const target_index target = place(flow).target;
        now += time;
        acknowledge(flow, target);
        end(flow, target);
    }
    const duration usual = second_try_delay(tries, north, false, 77ms);
    const duration doubted = second_try_delay(tries, north, true, 77ms);
    CHECK_TRUE(usual >= 90ms && usual <= 110ms);
    CHECK_TRUE(doubted >= 30ms && doubted <= 40ms);
}

// A longer delay than the caller's own would send a copy on top of the caller's.
TEST(second_tries, no_delay_exceeds_the_callers)
{
    tries.times[north] = {};
    CHECK_TRUE(second_try_delay(tries, north, false, 10s) < 200ms);
    answer_openings(150, 195ms);
    CHECK_TRUE(second_try_delay(tries, north, false, 10s) < 200ms);
}
