/// \file
/// An entry instance as a whole: state that only moves forward, readiness, leaving.

#include "entry_fixture.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(entry)
{
    time_point now{100s};
    entry self = make_entry({.self = {1}, .home = north});

    shared_configuration configuration(std::uint64_t revision)
    {
        routing_table table = web_table();
        table.generation = {revision};
        return {.revision = {revision},
                .text = std::make_shared<const std::string>("text"),
                .table = std::make_shared<const routing_table>(table)};
    }

    void take_all(std::uint64_t position)
    {
        const target_change only = announcement(1, 5);
        take_listing(self, {&only, 1}, {position}, now);
        take_configuration(self, configuration(3));
        note_reading(self, now, now);
    }

    fleet_message message_with(fleet_beat beat, std::uint64_t sequence)
    {
        return {.sender = {7}, .sequence = sequence, .body = std::move(beat)};
    }
};

TEST(entry, is_ready_only_with_a_configuration_and_a_list_of_targets)
{
    CHECK_FALSE(is_ready(self));
    take_configuration(self, configuration(3));
    CHECK_FALSE(is_ready(self));
    take_all(10);
    CHECK_TRUE(is_ready(self));
}

TEST(entry, a_configuration_never_goes_back)
{
    CHECK_TRUE(take_configuration(self, configuration(5)));
    CHECK_FALSE(take_configuration(self, configuration(4)));
    CHECK_FALSE(take_configuration(self, configuration(5)));
    UNSIGNED_LONGS_EQUAL(5, self.configuration.revision.value);
}

TEST(entry, an_instance_that_leaves_is_not_ready_and_goes_when_nothing_comes_any_more)
{
    take_all(10);
    self.leaving_since = now;
    CHECK_FALSE(is_ready(self));
    now += 1200ms;
    self.last_packet_at = now;
    CHECK_FALSE(may_end(self, now));
    now += 400ms;
    CHECK_TRUE(may_end(self, now));
}

TEST(entry, an_instance_that_leaves_goes_at_last_although_packets_come)
{
    self.leaving_since = now;
    now += 4900ms;
    self.last_packet_at = now;
    CHECK_FALSE(may_end(self, now));
    now += 100ms;
    self.last_packet_at = now;
    CHECK_TRUE(may_end(self, now));
}

TEST(entry, a_peer_is_told_what_it_lacks_and_the_configuration_only_if_it_is_newer)
{
    take_all(10);
    const state_reply all = reply_to(self, {});
    UNSIGNED_LONGS_EQUAL(1, all.targets.size());
    STRCMP_EQUAL("text", all.configuration_text.c_str());
    const state_reply none = reply_to(self, {.position = {10}, .configuration = {3}});
    UNSIGNED_LONGS_EQUAL(0, none.targets.size());
    STRCMP_EQUAL("", none.configuration_text.c_str());
}

TEST(entry, after_an_outage_of_the_state_lapsed_targets_serve_for_a_while)
{
    take_all(10);
    now += lapsing_outage;
    const target_change gone = departure(1, 11);
    take_changes(self, {&gone, 1}, {11}, now);
    CHECK_TRUE(takes_new_flows(self.directory.targets[0], now));
    now += lapse_grace;
    CHECK_FALSE(takes_new_flows(self.directory.targets[0], now));
}

TEST(entry, the_age_of_the_state_is_that_of_the_last_reading)
{
    CHECK_TRUE(state_age(self, now) == never_read);
    take_all(10);
    now += 700ms;
    CHECK_TRUE(state_age(self, now) == 700ms);
    CHECK_TRUE(make_beat(self, now).age == 700ms);
}

TEST(entry, shares_the_targets_with_a_peer_from_the_tick_on_that_follows_its_beat)
{
    take_all(10);
    tick(self, now);
    UNSIGNED_LONGS_EQUAL(1, self.steering.selector.instances);
    now += 50ms;
    const fleet_beat beat{.incarnation = 1, .data_centre = north};
    take_beat(self, {.sender = {2}, .sequence = 1, .body = beat}, beat, now);
    tick(self, now);
    UNSIGNED_LONGS_EQUAL(2, self.steering.selector.instances);
}

TEST(entry, in_a_large_fleet_beats_are_short_and_tell_of_everybody_in_turn)
{
    take_all(10);
    for (std::uint32_t sender = 100; sender < 130; ++sender)
    {
        const fleet_beat beat{.incarnation = 1, .data_centre = north};
        take_beat(self, {.sender = {sender}, .sequence = 1, .body = beat}, beat, now);
    }
    std::set<std::uint32_t> told;
    for (self.beats_sent = 1; self.beats_sent <= 40; ++self.beats_sent)
    {
        const fleet_beat beat = make_beat(self, now);
        CHECK_TRUE(beat.members.size() <= 3);
        for (const fleet_member& each : beat.members)
        {
            told.insert(each.instance.value);
        }
    }
    UNSIGNED_LONGS_EQUAL(30, told.size());
}

TEST(entry, in_a_large_fleet_others_are_asked_when_nobody_at_home_knows_more_for_a_while)
{
    take_all(10);
    for (std::uint32_t sender = 100; sender < 130; ++sender)
    {
        const fleet_beat beat{.incarnation = 1,
                              .data_centre = south,
                              .position = {11},
                              .configuration = {3}};
        take_beat(self, {.sender = {sender}, .sequence = 1, .body = beat}, beat, now);
    }
    POINTERS_EQUAL(nullptr, choose_teller(self, {}, now));
    now += 1400ms;
    const fleet_beat at_home{
        .incarnation = 1, .data_centre = north, .position = {11}, .configuration = {3}};
    take_beat(self, message_with(at_home, 1), at_home, now);
    CHECK_TRUE(choose_teller(self, {}, now) != nullptr);
    self.fleet.peers.erase({7});
    now += 99ms;
    const fleet_peer* const teller = choose_teller(self, {}, now);
    CHECK_TRUE(teller != nullptr);
    CHECK_TRUE(teller->data_centre == south);
}
