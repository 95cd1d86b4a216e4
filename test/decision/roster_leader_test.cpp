/// \file
/// Keeping the roster in the store: one version follows another, whoever leads.

#include "submission_fixture.hpp"

#include <kumquatpath/decision/roster_leader.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(roster_leader)
{
    submission_fixture it;
    roster_leader duty = start_roster_leader({}, {1});
    store_command_list commands;

    void setup() override
    {
        it.view = it.view_of({1});
        it.members = it.members_of({1});
        alive();
    }

    /// Lets every member be heard just now.
    void alive()
    {
        for (member& each : it.members.members)
        {
            each.last_heard = it.now;
        }
    }

    void tick()
    {
        commands.clear();
        tick_roster(it.view, it.now);
        tick_roster_leader(duty, it.view, it.members, it.now, commands);
    }

    /// Returns the command of kind \p Command that the last tick gave.
    template <class Command>
    const Command* command() const
    {
        for (const store_command& each : commands)
        {
            if (const auto* match = std::get_if<Command>(&each))
            {
                return match;
            }
        }
        return nullptr;
    }

    /// Lets the store grant the lease and give the first roster in revision 5.
    void lead()
    {
        tick();
        receive_lease_answer(
            duty, {.request = command<acquire_lease>()->request, .is_granted = true});
        answer_read(it.first, {5});
    }

    void answer_read(const roster& value, store_revision revision)
    {
        const auto* read = command<read_roster>();
        CHECK_TRUE(read != nullptr);
        receive_roster_answer(
            duty, it.view,
            {.request = read->request, .value = value, .revision = revision}, it.now);
    }

    /// Lets the holder 5 leave and returns the write that follows.
    const write_roster* write_without_5()
    {
        it.members.members.back().state = member_state::leaving;
        tick();
        return command<write_roster>();
    }
};

TEST(roster_leader, writes_a_next_version_against_the_revision_that_it_read)
{
    lead();
    const write_roster* write = write_without_5();
    CHECK_TRUE(write != nullptr);
    LONGS_EQUAL(5, write->expected.value);
    LONGS_EQUAL(2, write->value.version.value);
    LONGS_EQUAL(4, write->value.holders.size());
    LONGS_EQUAL(5, write->value.previous.size());
}

TEST(roster_leader, without_the_lease_nothing_is_written)
{
    lead();
    it.now += 9s;
    tick_roster(it.view, it.now);
    it.now += 500ms;
    it.hear_all(it.view, {1});
    alive();
    POINTERS_EQUAL(nullptr, write_without_5());
}

TEST(roster_leader, a_refused_write_is_read_back_before_another_one)
{
    lead();
    const store_request written = write_without_5()->request;
    receive_roster_answer(duty, it.view, {.request = written, .is_accepted = false},
                          it.now);
    it.now += 500ms;
    tick();
    CHECK_TRUE(command<read_roster>() != nullptr);
    POINTERS_EQUAL(nullptr, command<write_roster>());
}

TEST(roster_leader, a_write_whose_answer_is_lost_is_found_to_have_taken_effect)
{
    lead();
    const roster written = write_without_5()->value;
    it.now += 2s;
    tick();
    answer_read(written, {6});
    LONGS_EQUAL(2, it.view.current.version.value);
    tick();
    POINTERS_EQUAL(nullptr, command<write_roster>());
}

TEST(roster_leader, a_late_answer_to_a_lost_read_is_not_taken)
{
    tick();
    const store_request lost = command<read_roster>()->request;
    it.now += 2s;
    tick();
    receive_roster_answer(duty, it.view,
                          {.request = lost, .value = {.version = {9}, .holders = {{1}}}},
                          it.now);
    LONGS_EQUAL(1, it.view.current.version.value);
}

TEST(roster_leader, a_newer_version_that_a_peer_announced_is_read)
{
    lead();
    it.now += 500ms;
    tick();
    POINTERS_EQUAL(nullptr, command<read_roster>());
    hear_of_roster(duty, {2});
    tick();
    CHECK_TRUE(command<read_roster>() != nullptr);
}

TEST(roster_leader, only_the_first_two_instances_ask_for_the_lease)
{
    it.view = it.view_of({3});
    it.members = it.members_of({3});
    tick();
    POINTERS_EQUAL(nullptr, command<acquire_lease>());
    it.kill({1});
    tick();
    CHECK_TRUE(command<acquire_lease>() != nullptr);
}

TEST(roster_leader, a_version_is_written_again_once_its_old_holders_no_longer_count)
{
    lead();
    roster second = write_without_5()->value;
    receive_roster_answer(duty, it.view,
                          {.request = *duty.awaited, .value = second, .revision = {6}},
                          it.now);
    it.view.followed_since = it.now - it.view.options.transition;
    tick();
    const write_roster* write = command<write_roster>();
    CHECK_TRUE(write != nullptr);
    LONGS_EQUAL(2, write->value.version.value);
    LONGS_EQUAL(0, write->value.previous.size());
}

TEST_GROUP(roster_change)
{
    submission_fixture it;

    void setup() override
    {
        it.view = it.view_of({1});
        it.members = it.members_of({1});
        for (member& each : it.members.members)
        {
            each.last_heard = it.now;
        }
    }

    std::optional<roster> next()
    {
        return decide_roster(it.view, it.members, {}, it.now);
    }
};

TEST(roster_change, a_holder_that_restarts_quickly_stays)
{
    it.kill({3});
    it.now += 30s - 1ns;
    CHECK_FALSE(next().has_value());
    it.now += 1ns;
    LONGS_EQUAL(4, next()->holders.size());
}

TEST(roster_change, a_holder_that_was_never_heard_is_given_time)
{
    it.members.members.erase(it.members.members.begin() + 2);
    it.view.started = it.now - 29s;
    CHECK_FALSE(next().has_value());
}

TEST(roster_change, a_newcomer_joins_when_it_has_been_there_for_a_while)
{
    it.members.members.push_back({.instance = {6}, .since = it.now - 4s});
    CHECK_FALSE(next().has_value());
    it.now += 1s;
    LONGS_EQUAL(6, next()->holders.size());
}

TEST(roster_change, nothing_changes_while_a_version_is_joint)
{
    learn_roster_from_store(
        it.view, {.version = {2}, .holders = it.first.holders, .previous = {{1}, {9}}},
        it.now, it.now);
    it.kill({3});
    it.now += 1min;
    CHECK_FALSE(next().has_value());
}
