/// \file
/// The composed instance: what one part does waits for what another still holds.

#include <kumquatpath/decision/instance.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{100s};

/// Runs the ticks of an instance from \p from to \p to.
void run_ticks(instance_state& state, time_point from, time_point to)
{
    for (time_point now = from; now <= to; now += 100ms)
    {
        action_list actions;
        tick(state, wall_time(1h), now, actions);
    }
}

} // namespace

TEST_GROUP(instance)
{
    instance_state state = make_instance({.self = {.instance = {1}}}, start);
};

TEST(instance, a_stop_is_told_to_peers_at_once_when_no_votes_are_held)
{
    begin_leaving(state, start);
    run_ticks(state, start, start + 200ms);

    CHECK_TRUE(state.members.self.state == member_state::leaving);
}

TEST(instance, a_stop_is_told_to_peers_only_after_votes_held_in_advance_are_over)
{
    state.submissions.advance.sequence = {1};
    state.submissions.advance.asked_at = start;
    begin_leaving(state, start);
    run_ticks(state, start, start + 18s);
    CHECK_TRUE(state.members.self.state == member_state::alive);

    run_ticks(state, start + 18s, start + 20s);
    CHECK_TRUE(state.members.self.state == member_state::leaving);
}

TEST(instance, a_stop_does_not_end_before_peers_had_time_to_hear_of_it)
{
    begin_leaving(state, start);
    run_ticks(state, start, start + 3s);
    CHECK_FALSE(has_left(state, start + 3s));

    run_ticks(state, start + 3s, start + 20s);
    CHECK_TRUE(has_left(state, start + 20s));
}

TEST(instance, a_leaving_instance_passes_new_flows_to_others_before_its_peers_are_told)
{
    merge_members(state.members, {{.instance = {2}, .incarnation = {1}}}, start);
    state.submissions.advance.sequence = {1};
    state.submissions.advance.asked_at = start;
    begin_leaving(state, start);
    run_ticks(state, start, start + 200ms);

    for (std::uint64_t flow = 0; flow < 64; ++flow)
    {
        action_list actions;
        decide_caller_packet(state, {.flow = {flow}}, {}, start + 200ms, actions);
        LONGS_EQUAL(2, std::get<pass_to_peer>(actions.at(0)).peer.value);
    }
}

TEST(instance, an_older_configuration_is_not_taken)
{
    auto newer = std::make_shared<configuration>();
    newer->generation = {2};
    auto older = std::make_shared<configuration>();
    older->generation = {1};

    CHECK_TRUE(adopt_configuration(state, newer, wall_time(1h), start));
    CHECK_FALSE(adopt_configuration(state, older, wall_time(1h), start));
    LONGS_EQUAL(2, state.in_force->generation.value);
}
