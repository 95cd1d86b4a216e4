/// \file
/// Tests of the evacuations of data centres: changes and listings in any order, the bound
/// of the table, and how an entry instance learns and passes on evacuations.

#include "entry_fixture.hpp"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

evacuation_change evacuation(const std::string& name, std::uint64_t revision)
{
    return {
        .data_centre = id_of<data_centre_id>(name), .name = name, .revision = {revision}};
}

evacuation_change withdrawal(const std::string& name, std::uint64_t revision)
{
    evacuation_change change = evacuation(name, revision);
    change.is_withdrawn = true;
    return change;
}

std::string numbered_name(std::uint64_t number)
{
    return std::string("d").append(std::to_string(number));
}

state_update partial(std::vector<evacuation_change> changes, std::uint64_t position)
{
    return {.position = {position}, .evacuations = std::move(changes)};
}

state_update whole(std::vector<evacuation_change> changes, std::uint64_t position)
{
    return {.position = {position}, .is_whole = true, .evacuations = std::move(changes)};
}

} // namespace

TEST_GROUP(evacuations)
{
    time_point now{100s};
    evacuation_table table;

    std::size_t apply(const state_update& update, std::uint64_t own_position = 0)
    {
        return apply_evacuations(table, update, {own_position}, now).size();
    }
};

TEST(evacuations, a_late_or_doubled_change_has_no_effect)
{
    UNSIGNED_LONGS_EQUAL(1, apply(partial({evacuation("north", 5)}, 5)));
    UNSIGNED_LONGS_EQUAL(0, apply(partial({evacuation("north", 5)}, 5)));
    CHECK_TRUE(is_evacuated(table, north));
    UNSIGNED_LONGS_EQUAL(1, apply(partial({withdrawal("north", 7)}, 7)));
    UNSIGNED_LONGS_EQUAL(0, apply(partial({evacuation("north", 6)}, 6)));
    CHECK_FALSE(is_evacuated(table, north));
}

TEST(evacuations, a_withdrawal_that_arrives_before_its_evacuation_counts)
{
    apply(partial({withdrawal("north", 7)}, 7));
    apply(partial({evacuation("north", 5)}, 7));
    CHECK_FALSE(is_evacuated(table, north));
}

TEST(evacuations, changes_in_any_order_give_the_same_table)
{
    std::vector<evacuation_change> changes;
    for (std::uint64_t revision = 1; revision <= 40; ++revision)
    {
        const std::string name(1, static_cast<char>('a' + revision % 5));
        changes.push_back(revision % 3 == 0 ? withdrawal(name, revision)
                                            : evacuation(name, revision));
    }
    apply(partial(changes, 40));
    std::mt19937 random(1);
    for (int round = 0; round < 20; ++round)
    {
        std::shuffle(changes.begin(), changes.end(), random);
        evacuation_table other;
        for (const evacuation_change& each : changes)
        {
            apply_evacuations(other, partial({each}, 0), {}, now);
        }
        for (const auto& [data_centre, entry] : table.entries)
        {
            CHECK_EQUAL(!entry.change.is_withdrawn, is_evacuated(other, data_centre));
        }
    }
}

TEST(evacuations, an_evacuation_that_was_withdrawn_while_the_instance_was_away_ends)
{
    apply(partial({evacuation("north", 5)}, 5));
    UNSIGNED_LONGS_EQUAL(1, apply(whole({}, 20), 5));
    CHECK_FALSE(is_evacuated(table, north));
    CHECK_EQUAL_TEXT(0U, apply(partial({evacuation("north", 5)}, 5), 20),
                     "a peer that lags behind must not bring it back");
    CHECK_FALSE(is_evacuated(table, north));
    apply(partial({evacuation("north", 21)}, 21), 20);
    CHECK_TRUE_TEXT(is_evacuated(table, north), "a later evacuation counts");
}

TEST(evacuations, a_listing_does_not_withdraw_a_newer_evacuation)
{
    apply(partial({evacuation("north", 30)}, 30));
    apply(whole({}, 20), 10);
    CHECK_TRUE(is_evacuated(table, north));
}

TEST(evacuations, a_listing_that_lags_behind_this_instance_withdraws_nothing)
{
    apply(partial({evacuation("north", 5)}, 30));
    apply(whole({}, 20), 30);
    CHECK_TRUE(is_evacuated(table, north));
}

TEST(evacuations, an_unknown_evacuation_from_before_the_own_position_is_outdated)
{
    // The listing of a restarted instance does not tell that an evacuation was withdrawn.
    apply(whole({}, 20));
    apply(partial({evacuation("north", 15)}, 18), 20);
    CHECK_FALSE(is_evacuated(table, north));
    apply(whole({evacuation("north", 15)}, 18), 20);
    CHECK_FALSE(is_evacuated(table, north));
}

TEST(evacuations, a_listing_at_the_own_position_or_later_counts_as_it_is)
{
    apply(whole({evacuation("north", 15)}, 20), 20);
    CHECK_TRUE(is_evacuated(table, north));
}

TEST(evacuations, a_repeated_evacuation_keeps_its_age_and_its_name)
{
    apply(partial({evacuation("north", 5)}, 5));
    now += 10s;
    evacuation_change repeated = evacuation("north", 9);
    repeated.name.clear();
    UNSIGNED_LONGS_EQUAL(0, apply(partial({repeated}, 9)));
    const auto in_force = evacuations_in_force(table);
    UNSIGNED_LONGS_EQUAL(1, in_force.size());
    CHECK_TRUE(now - in_force[0].since == 10s);
    STRCMP_EQUAL("north", in_force[0].change.name.c_str());
    UNSIGNED_LONGS_EQUAL(9, in_force[0].change.revision.value);
}

TEST(evacuations, an_evacuation_with_a_strange_name_counts_without_the_name)
{
    evacuation_change strange = evacuation("north", 5);
    strange.name = "north\"\n";
    apply(partial({strange}, 5));
    CHECK_TRUE(is_evacuated(table, north));
    STRCMP_EQUAL(std::to_string(north.value).c_str(),
                 name_of(evacuations_in_force(table)[0].change).c_str());
}

TEST(evacuations, a_full_table_ignores_and_counts_further_evacuations)
{
    std::uint64_t revision = 1;
    while (revision <= max_known_evacuations)
    {
        apply(partial({evacuation(numbered_name(revision), revision)}, revision));
        ++revision;
    }
    UNSIGNED_LONGS_EQUAL(0, apply(partial({evacuation("north", revision)}, revision)));
    UNSIGNED_LONGS_EQUAL(max_known_evacuations, table.entries.size());
    UNSIGNED_LONGS_EQUAL(1, table.ignored);
    CHECK_TRUE(is_evacuated(table, id_of<data_centre_id>("d1")));
}

TEST(evacuations, a_new_evacuation_takes_the_place_of_the_oldest_withdrawn_one)
{
    std::uint64_t revision = 1;
    while (revision <= max_known_evacuations)
    {
        apply(partial({withdrawal(numbered_name(revision), revision)}, revision));
        ++revision;
    }
    apply(partial({evacuation("north", revision)}, revision), revision - 1);
    CHECK_TRUE(is_evacuated(table, north));
    UNSIGNED_LONGS_EQUAL(max_known_evacuations, table.entries.size());
    CHECK_TRUE_TEXT(table.complete_from == state_revision{1},
                    "the removed withdrawal cannot be passed on");
    apply(partial({evacuation("d1", 1)}, 1), revision);
    CHECK_FALSE_TEXT(is_evacuated(table, id_of<data_centre_id>("d1")),
                     "the removed withdrawal must still count");
}

TEST(evacuations, a_peer_gets_what_it_lacks_withdrawals_included)
{
    apply(partial({evacuation("north", 5), withdrawal("south", 7)}, 7));
    UNSIGNED_LONGS_EQUAL(2, changes_since(table, {0}).size());
    const auto changes = changes_since(table, {5});
    UNSIGNED_LONGS_EQUAL(1, changes.size());
    CHECK_TRUE(changes[0].is_withdrawn);
}

TEST_GROUP(evacuations_of_an_instance)
{
    time_point now{100s};
    entry_instance self = make_entry_instance({.self = {1}, .local_data_centre = north});

    static entry_instance make_peer()
    {
        return make_entry_instance({.self = {2}, .local_data_centre = south});
    }

    state_update_result apply(entry_instance & to, const state_update& update)
    {
        return apply_state_update(to, update, now);
    }

    /// Returns whether target \p key of \p instance takes new flows.
    bool takes_flows(const entry_instance& instance, std::uint64_t key)
    {
        const auto found = instance.directory.by_entry.find(key);
        return found != instance.directory.by_entry.end() &&
               takes_new_flows(instance.directory.targets[found->second], now);
    }

    state_update first_state()
    {
        state_update update = whole({evacuation("north", 7)}, 10);
        update.targets = {announcement(1, 5, north), announcement(2, 6, south)};
        return update;
    }
};

TEST(evacuations_of_an_instance, apply_from_its_first_state_on)
{
    const state_update_result outcome = apply(self, first_state());
    UNSIGNED_LONGS_EQUAL(1, outcome.evacuations.size());
    CHECK_FALSE(takes_flows(self, 1));
    CHECK_TRUE(takes_flows(self, 2));
}

TEST(evacuations_of_an_instance, apply_at_once_and_end_with_the_withdrawal)
{
    state_update update = first_state();
    update.evacuations.clear();
    apply(self, update);
    CHECK_TRUE(takes_flows(self, 1));
    apply(self, {.position = {11},
                 .complete_from = {10},
                 .evacuations = {evacuation("north", 11)}});
    CHECK_FALSE(takes_flows(self, 1));
    apply(self, {.position = {12},
                 .complete_from = {11},
                 .evacuations = {withdrawal("north", 12)}});
    CHECK_TRUE(takes_flows(self, 1));
}

TEST(evacuations_of_an_instance, apply_to_targets_that_are_announced_later_or_move)
{
    apply(self, first_state());
    apply(self, {.position = {12},
                 .complete_from = {10},
                 .targets = {announcement(3, 11, north), announcement(2, 12, north)}});
    CHECK_FALSE(takes_flows(self, 3));
    CHECK_FALSE(takes_flows(self, 2));
    apply(self, {.position = {13},
                 .complete_from = {12},
                 .targets = {announcement(2, 13, south)}});
    CHECK_TRUE(takes_flows(self, 2));
}

TEST(evacuations_of_an_instance, outlast_the_grace_period_after_an_outage)
{
    apply(self, first_state());
    record_state_read(self, now, now);
    now += min_outage_for_expiry;
    apply(self, {.position = {12},
                 .complete_from = {10},
                 .targets = {departure(1, 11), departure(2, 12)}});
    CHECK_FALSE(takes_flows(self, 1));
    CHECK_TRUE(takes_flows(self, 2));
}

TEST(evacuations_of_an_instance, reach_an_instance_that_only_hears_its_peers)
{
    apply(self, first_state());
    entry_instance newcomer = make_peer();
    apply(newcomer, make_state_reply(self, {}, now).update);
    CHECK_FALSE(takes_flows(newcomer, 1));
    apply(self, {.position = {12},
                 .complete_from = {10},
                 .evacuations = {withdrawal("north", 12)}});
    apply(newcomer,
          make_state_reply(self, {.position = newcomer.directory.position}, now).update);
    CHECK_TRUE(takes_flows(newcomer, 1));
}

TEST(evacuations_of_an_instance, do_not_return_through_a_peer_that_lags_behind)
{
    apply(self, first_state());
    const state_update old_reply = make_state_reply(self, {}, now).update;
    entry_instance restarted = make_peer();
    state_update later = first_state();
    later.position = {20};
    later.evacuations.clear();
    apply(restarted, later);
    apply(restarted, old_reply);
    CHECK_TRUE(takes_flows(restarted, 1));
}
