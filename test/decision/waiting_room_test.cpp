/// \file
/// The order and the bounds of openings that wait.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/waiting_room.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(waiting_room)
{
    time_point now{100s};
    waiting_room room;

    void add(std::uint16_t flow, duration age, duration time_left)
    {
        add_waiting(room, {.packet = opening(flow, age),
                           .begun = now - age,
                           .in_time_until = now + time_left});
    }

    /// Takes out the next opening and returns its flow; 0: none may go.
    std::uint16_t take_next(std::span<const endpoint> full = {})
    {
        const auto place = next_waiting(room, full, now);
        return place ? take_waiting(room, *place).packet.caller.port : std::uint16_t{0};
    }
};

TEST(waiting_room, what_can_be_in_time_goes_first_and_the_newest_of_it)
{
    add(1, 600ms, -400ms);
    add(2, 100ms, 50ms);
    add(3, 0ms, 150ms);
    UNSIGNED_LONGS_EQUAL(3, take_next());
    UNSIGNED_LONGS_EQUAL(2, take_next());
    UNSIGNED_LONGS_EQUAL(1, take_next());
    UNSIGNED_LONGS_EQUAL_TEXT(0, take_next(), "nothing waits any more");
}

TEST(waiting_room, openings_of_a_full_service_stay_and_hold_up_no_others)
{
    add(1, 0ms, 150ms);
    const endpoint full[] = {web_listener};
    UNSIGNED_LONGS_EQUAL(0, take_next(full));
    UNSIGNED_LONGS_EQUAL(1, room.openings.size());
}

TEST(waiting_room, a_flood_at_one_listener_leaves_the_others_their_share)
{
    constexpr endpoint other_listener{.address = 0xc6120002, .port = 443};
    for (int i = 0; i < 50; ++i)
    {
        note_placed(room, web_listener, now);
    }
    add(1, 0ms, 150ms);
    waiting_opening other{
        .packet = opening(2), .begun = now - 90ms, .in_time_until = now + 60ms};
    other.packet.listener = other_listener;
    add_waiting(room, std::move(other));
    UNSIGNED_LONGS_EQUAL_TEXT(2, take_next(), "its listener has had nothing yet");
    UNSIGNED_LONGS_EQUAL(1, take_next());
}

TEST(waiting_room, what_a_listener_has_had_long_ago_counts_no_more)
{
    constexpr endpoint other_listener{.address = 0xc6120002, .port = 443};
    for (int i = 0; i < 50; ++i)
    {
        note_placed(room, web_listener, now);
    }
    now += 20s;
    note_placed(room, other_listener, now);
    waiting_opening other{
        .packet = opening(2), .begun = now, .in_time_until = now + 60ms};
    other.packet.listener = other_listener;
    add_waiting(room, std::move(other));
    add(1, 0ms, 150ms);
    UNSIGNED_LONGS_EQUAL(1, take_next());
}

TEST(waiting_room, a_copy_takes_the_place_of_the_opening_and_keeps_its_age)
{
    add(1, 0ms, 150ms);
    const time_point begun = room.openings[0].begun;
    now += 210ms;
    add(1, 200ms, -50ms);
    UNSIGNED_LONGS_EQUAL(1, room.openings.size());
    CHECK_TRUE(room.openings[0].begun == begun);
}

TEST(waiting_room, openings_that_are_about_to_be_given_up_come_out)
{
    add(1, 0ms, 150ms);
    add(2, 600ms, -400ms);
    now += 700ms;
    const auto expired = take_expired(room, now);
    UNSIGNED_LONGS_EQUAL(1, expired.size());
    UNSIGNED_LONGS_EQUAL(2, expired[0].packet.caller.port);
    UNSIGNED_LONGS_EQUAL(1, room.openings.size());
}

TEST(waiting_room, a_full_room_gives_back_the_oldest)
{
    for (std::size_t i = 0; i < most_waiting; ++i)
    {
        add(static_cast<std::uint16_t>(i), i == 7 ? 500ms : 0ms, 0ms);
    }
    const auto displaced = add_waiting(
        room, {.packet = opening(60'000), .begun = now, .in_time_until = now});
    CHECK_TRUE(displaced.has_value());
    UNSIGNED_LONGS_EQUAL(7, displaced->packet.caller.port);
    UNSIGNED_LONGS_EQUAL(most_waiting, room.openings.size());
}
