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

    std::uint16_t place(std::size_t index)
    {
        return room.openings[index].packet.caller.port;
    }
};

TEST(waiting_room, what_can_be_in_time_goes_first_and_the_newest_of_it)
{
    add(1, 600ms, -400ms);
    add(2, 100ms, 50ms);
    add(3, 0ms, 150ms);
    order_waiting(room, now);
    UNSIGNED_LONGS_EQUAL(3, place(0));
    UNSIGNED_LONGS_EQUAL(2, place(1));
    UNSIGNED_LONGS_EQUAL(1, place(2));
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
