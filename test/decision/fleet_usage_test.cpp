/// \file
/// The share of the fleet's limits: close to what arrives, and conservative when alone.

#include <kumquatpath/decision/fleet_usage.hpp>

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

member_view view_of(std::uint32_t alive, std::uint32_t self)
{
    member_view view{.self = {self}};
    for (std::uint32_t i = 1; i <= alive; ++i)
    {
        view.members.push_back({.instance = {i}});
    }
    return view;
}

} // namespace

TEST_GROUP(fleet_usage){};

TEST(fleet_usage, an_even_spray_gives_an_even_share)
{
    fleet_usage fleet;
    note_members(fleet, view_of(8, 3), time_point(1s));
    note_peer_rate(fleet, 100, 100, time_point(1s));

    DOUBLES_EQUAL(0.125, fleet_share(fleet, time_point(2s)), 1e-9);
}

TEST(fleet_usage, an_instance_that_sees_more_takes_a_larger_share)
{
    fleet_usage fleet;
    note_members(fleet, view_of(8, 3), time_point(1s));
    for (int i = 0; i < 100; ++i)
    {
        note_peer_rate(fleet, 100, 150, time_point(1s));
    }

    DOUBLES_EQUAL(150.0 / 850, fleet_share(fleet, time_point(2s)), 0.001);
}

TEST(fleet_usage, an_instance_that_hears_nobody_takes_at_most_an_even_share)
{
    fleet_usage fleet;
    note_members(fleet, view_of(8, 3), time_point(1s));
    for (int i = 0; i < 100; ++i)
    {
        note_peer_rate(fleet, 100, 300, time_point(1s));
    }

    DOUBLES_EQUAL(0.125, fleet_share(fleet, time_point(5s)), 1e-9);
}

TEST(fleet_usage, an_instance_that_loses_sight_of_half_the_fleet_keeps_its_old_share)
{
    fleet_usage fleet;
    note_members(fleet, view_of(8, 1), time_point(1s));
    note_members(fleet, view_of(1, 1), time_point(5s));

    DOUBLES_EQUAL(0.125, fleet_share(fleet, time_point(10s)), 1e-9);
}

TEST(fleet_usage, the_share_of_an_instance_that_dies_goes_to_the_others)
{
    fleet_usage fleet;
    note_members(fleet, view_of(8, 1), time_point(1s));
    note_members(fleet, view_of(7, 1), time_point(5s));

    DOUBLES_EQUAL(1.0 / 7, fleet_share(fleet, time_point(10s)), 1e-9);
}

TEST(fleet_usage, rounded_parts_add_up_over_the_fleet)
{
    for (std::uint64_t key = 0; key < 100; ++key)
    {
        for (const double part : {0.1, 0.55, 0.7, 1.3})
        {
            double sum = 0;
            for (std::size_t rank = 0; rank < 8; ++rank)
            {
                const fleet_usage fleet{.instances = 8, .rank = rank};
                sum += std::floor(part + dither(fleet, key));
            }
            CHECK_COMPARE(std::abs(sum - part * 8), <, 1.0);
        }
    }
}
