/// \file
/// Tests of an entry instance: readiness, leaving, updates of the shared state and the
/// exchange with its peers.

#include "entry_fixture.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(entry_instance)
{
    time_point now{100s};
    entry_instance self = make_entry_instance({.self = {1}, .local_data_centre = north});

    shared_configuration configuration(std::uint64_t revision)
    {
        routing_table table = web_table();
        table.generation = {revision};
        return {.revision = {revision},
                .text = std::make_shared<const std::string>("text"),
                .table = std::make_shared<const routing_table>(table)};
    }

    void apply_full_state(std::uint64_t position)
    {
        apply_state_update(
            self,
            {.position = {position}, .is_whole = true, .targets = {announcement(1, 5)}},
            now);
        apply_configuration(self, configuration(3), now);
        record_state_read(self, now, now);
    }

    fleet_message message_with(fleet_heartbeat heartbeat, std::uint64_t sequence)
    {
        return {.sender = {7}, .sequence = sequence, .body = std::move(heartbeat)};
    }
};

TEST(entry_instance, is_ready_only_with_a_configuration_and_a_listing_of_targets)
{
    CHECK_FALSE(is_ready(self));
    apply_configuration(self, configuration(3), now);
    CHECK_FALSE(is_ready(self));
    apply_full_state(10);
    CHECK_TRUE(is_ready(self));
}

TEST(entry_instance, an_older_configuration_is_not_applied)
{
    CHECK_TRUE(apply_configuration(self, configuration(5), now));
    CHECK_FALSE(apply_configuration(self, configuration(4), now));
    CHECK_FALSE(apply_configuration(self, configuration(5), now));
    UNSIGNED_LONGS_EQUAL(5, self.configuration.revision.value);
}

TEST(entry_instance, a_leaving_instance_is_not_ready_and_may_exit_once_packets_stop)
{
    apply_full_state(10);
    self.leaving_since = now;
    CHECK_FALSE(is_ready(self));
    now += 1200ms;
    self.last_packet_at = now;
    CHECK_FALSE(may_exit(self, now));
    now += 400ms;
    CHECK_TRUE(may_exit(self, now));
}

TEST(entry_instance, a_leaving_instance_may_exit_after_its_maximum_time_despite_packets)
{
    self.leaving_since = now;
    now += 4900ms;
    self.last_packet_at = now;
    CHECK_FALSE(may_exit(self, now));
    now += 100ms;
    self.last_packet_at = now;
    CHECK_TRUE(may_exit(self, now));
}

TEST(entry_instance, a_state_reply_holds_only_what_the_peer_lacks)
{
    apply_full_state(10);
    const state_reply all = make_state_reply(self, {}, now);
    UNSIGNED_LONGS_EQUAL(1, all.update.targets.size());
    STRCMP_EQUAL("text", all.configuration_text.c_str());
    const state_reply none =
        make_state_reply(self, {.position = {10}, .configuration = {3}}, now);
    UNSIGNED_LONGS_EQUAL(0, none.update.targets.size());
    STRCMP_EQUAL("", none.configuration_text.c_str());
}

// The announcement may be old when a peer asks for it.
TEST(entry_instance, a_state_reply_has_what_is_left_of_each_warm_up)
{
    target_change change = announcement(1, 5);
    change.record->warm_up_left = 10s;
    apply_state_update(self, {.position = {10}, .is_whole = true, .targets = {change}},
                       now);
    now += 7s;
    const state_reply reply = make_state_reply(self, {}, now);
    LONGS_EQUAL(3000, reply.update.targets.at(0).record->warm_up_left.count());
    now += 7s;
    const state_reply late_reply = make_state_reply(self, {}, now);
    LONGS_EQUAL(0, late_reply.update.targets.at(0).record->warm_up_left.count());
}

TEST(entry_instance, after_an_outage_expired_targets_take_flows_for_a_grace_period)
{
    apply_full_state(10);
    now += min_outage_for_expiry;
    apply_state_update(
        self, {.position = {11}, .complete_from = {10}, .targets = {departure(1, 11)}},
        now);
    CHECK_TRUE(takes_new_flows(self.directory.targets[0], now));
    now += expiry_grace;
    CHECK_FALSE(takes_new_flows(self.directory.targets[0], now));
}

TEST(entry_instance, the_age_of_the_state_counts_from_the_last_read)
{
    CHECK_TRUE(state_age(self, now) == never_read);
    apply_full_state(10);
    now += 700ms;
    CHECK_TRUE(state_age(self, now) == 700ms);
    CHECK_TRUE(make_heartbeat(self, now).age == 700ms);
}

TEST(entry_instance, counts_a_peer_from_the_first_tick_after_its_heartbeat)
{
    apply_full_state(10);
    tick(self, now);
    UNSIGNED_LONGS_EQUAL(1, self.steering.selector.instances);
    now += 50ms;
    const fleet_heartbeat heartbeat{.incarnation = 1, .data_centre = north};
    handle_heartbeat(self, {.sender = {2}, .sequence = 1, .body = heartbeat}, heartbeat,
                     now);
    tick(self, now);
    UNSIGNED_LONGS_EQUAL(2, self.steering.selector.instances);
}

TEST(entry_instance, heartbeats_of_a_large_fleet_list_few_members_and_all_members_in_turn)
{
    apply_full_state(10);
    for (std::uint32_t sender = 100; sender < 130; ++sender)
    {
        const fleet_heartbeat heartbeat{.incarnation = 1, .data_centre = north};
        handle_heartbeat(self, {.sender = {sender}, .sequence = 1, .body = heartbeat},
                         heartbeat, now);
    }
    std::set<std::uint32_t> advertised;
    for (self.heartbeats_sent = 1; self.heartbeats_sent <= 40; ++self.heartbeats_sent)
    {
        const fleet_heartbeat heartbeat = make_heartbeat(self, now);
        CHECK_TRUE(heartbeat.members.size() <= 3);
        for (const fleet_member& each : heartbeat.members)
        {
            advertised.insert(each.instance.value);
        }
    }
    UNSIGNED_LONGS_EQUAL(30, advertised.size());
}

TEST(entry_instance, a_large_fleet_asks_remote_peers_only_after_waiting_for_local_ones)
{
    apply_full_state(10);
    for (std::uint32_t sender = 100; sender < 130; ++sender)
    {
        const fleet_heartbeat heartbeat{.incarnation = 1,
                                        .data_centre = south,
                                        .position = {11},
                                        .configuration = {3}};
        handle_heartbeat(self, {.sender = {sender}, .sequence = 1, .body = heartbeat},
                         heartbeat, now);
    }
    POINTERS_EQUAL(nullptr, choose_sync_peer(self, {}, now));
    now += 1400ms;
    const fleet_heartbeat local_heartbeat{
        .incarnation = 1, .data_centre = north, .position = {11}, .configuration = {3}};
    handle_heartbeat(self, message_with(local_heartbeat, 1), local_heartbeat, now);
    CHECK_TRUE(choose_sync_peer(self, {}, now) != nullptr);
    self.fleet.peers.erase({7});
    now += 99ms;
    const fleet_peer* const peer = choose_sync_peer(self, {}, now);
    CHECK_TRUE(peer != nullptr);
    CHECK_TRUE(peer->data_centre == south);
}
