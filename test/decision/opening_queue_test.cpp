/// \file
/// Tests of the order and the bounds of the queue of openings.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/opening_queue.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(opening_queue)
{
    time_point now{100s};
    opening_queue queue;

    void add(std::uint16_t flow, duration age, duration time_left)
    {
        add_opening(queue, {.packet = opening(flow, age),
                            .first_sent_at = now - age,
                            .placement_deadline = now + time_left});
    }

    /// Removes the next opening and returns its flow; 0: no opening is eligible.
    std::uint16_t take_next_flow(std::span<const endpoint> full_listeners = {})
    {
        const auto index = next_opening(queue, full_listeners, now);
        return index ? take_opening(queue, *index).packet.caller.port : std::uint16_t{0};
    }
};

TEST(opening_queue,
     openings_that_can_meet_their_goal_go_first_and_the_newest_of_them_leads)
{
    add(1, 600ms, -400ms);
    add(2, 100ms, 50ms);
    add(3, 0ms, 150ms);
    UNSIGNED_LONGS_EQUAL(3, take_next_flow());
    UNSIGNED_LONGS_EQUAL(2, take_next_flow());
    UNSIGNED_LONGS_EQUAL(1, take_next_flow());
    UNSIGNED_LONGS_EQUAL_TEXT(0, take_next_flow(), "the queue must be empty");
}

TEST(opening_queue, openings_of_a_full_listener_stay_queued)
{
    add(1, 0ms, 150ms);
    const endpoint full_listeners[] = {web_listener};
    UNSIGNED_LONGS_EQUAL(0, take_next_flow(full_listeners));
    UNSIGNED_LONGS_EQUAL(1, queue.openings.size());
}

TEST(opening_queue, a_flood_at_one_listener_does_not_starve_the_others)
{
    constexpr endpoint other_listener{.address = 0xc6120002, .port = 443};
    for (int i = 0; i < 50; ++i)
    {
        record_placement(queue, web_listener, now);
    }
    add(1, 0ms, 150ms);
    queued_opening other{.packet = opening(2),
                         .first_sent_at = now - 90ms,
                         .placement_deadline = now + 60ms};
    other.packet.listener = other_listener;
    add_opening(queue, std::move(other));
    UNSIGNED_LONGS_EQUAL_TEXT(2, take_next_flow(),
                              "no flow of its listener was placed yet");
    UNSIGNED_LONGS_EQUAL(1, take_next_flow());
}

TEST(opening_queue, old_placements_of_a_listener_no_longer_count)
{
    constexpr endpoint other_listener{.address = 0xc6120002, .port = 443};
    for (int i = 0; i < 50; ++i)
    {
        record_placement(queue, web_listener, now);
    }
    now += 20s;
    record_placement(queue, other_listener, now);
    queued_opening other{
        .packet = opening(2), .first_sent_at = now, .placement_deadline = now + 60ms};
    other.packet.listener = other_listener;
    add_opening(queue, std::move(other));
    add(1, 0ms, 150ms);
    UNSIGNED_LONGS_EQUAL(1, take_next_flow());
}

TEST(opening_queue, a_retransmitted_opening_replaces_the_queued_one_and_keeps_its_age)
{
    add(1, 0ms, 150ms);
    const time_point first_sent_at = queue.openings[0].first_sent_at;
    now += 210ms;
    add(1, 200ms, -50ms);
    UNSIGNED_LONGS_EQUAL(1, queue.openings.size());
    CHECK_TRUE(queue.openings[0].first_sent_at == first_sent_at);
}

TEST(opening_queue, openings_that_their_callers_are_about_to_give_up_expire)
{
    add(1, 0ms, 150ms);
    add(2, 600ms, -400ms);
    now += 700ms;
    const auto expired = take_expired(queue, now);
    UNSIGNED_LONGS_EQUAL(1, expired.size());
    UNSIGNED_LONGS_EQUAL(2, expired[0].packet.caller.port);
    UNSIGNED_LONGS_EQUAL(1, queue.openings.size());
}

TEST(opening_queue, a_full_queue_evicts_the_oldest_opening)
{
    for (std::size_t i = 0; i < max_queued_openings; ++i)
    {
        add(static_cast<std::uint16_t>(i), i == 7 ? 500ms : 0ms, 0ms);
    }
    const auto evicted = add_opening(
        queue,
        {.packet = opening(60'000), .first_sent_at = now, .placement_deadline = now});
    CHECK_TRUE(evicted.has_value());
    UNSIGNED_LONGS_EQUAL(7, evicted->packet.caller.port);
    UNSIGNED_LONGS_EQUAL(max_queued_openings, queue.openings.size());
}
