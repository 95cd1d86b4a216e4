/// \file
/// Tests of when second tries are withheld.

#include "second_tries_fixture.hpp"

#include <functional>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(second_tries_withheld, second_tries_fixture){};

// Load: openings wait for room, so there is none for second tries.
TEST(second_tries_withheld, overload_stops_them)
{
    record_capacity_shortage(tries, now);
    check_withheld(second_try_withheld::capacity);
}

// Load: every target has all the flows that it may hold.
TEST(second_tries_withheld, full_targets_get_none)
{
    const std::uint16_t flow = next_flow++;
    place(flow);
    while (steer(steering, table, directory, opening(next_flow++), now).verdict ==
           steering_verdict::forward)
    {
    }
    pass(60ms);
    CHECK_TRUE(sent.empty());
    UNSIGNED_LONGS_EQUAL(1, withheld(second_try_withheld::capacity));
}

// Failure: more silent targets than the operators' limit allows to make up for.
TEST(second_tries_withheld, the_budget_is_a_share_of_the_openings)
{
    tries.share = 0.01;
    tries.listeners[pack(web_listener)].tokens = 0;
    answer_openings(100, 5ms);
    leave_unanswered();
    UNSIGNED_LONGS_EQUAL(1, counts().sent);
    sent.clear();
    check_withheld(second_try_withheld::budget);
}

// Change: between the opening and its second try, all other targets are drained.
TEST(second_tries_withheld, targets_that_take_no_new_flows_get_none)
{
    const target_index first = place(next_flow++).target;
    for (target_index each = 0; each < directory.targets.size(); ++each)
    {
        if (each != first)
        {
            remove(each);
        }
    }
    pass(199ms);
    CHECK_TRUE(sent.empty());
    UNSIGNED_LONGS_EQUAL(1, withheld(second_try_withheld::no_target));
}

// Change: all other targets have just started and are slow.
TEST(second_tries_withheld, targets_in_their_warm_up_get_none)
{
    const target_index first = place(next_flow++).target;
    for (target_index each = 0; each < directory.targets.size(); ++each)
    {
        if (each != first)
        {
            target_change change =
                announcement(directory.targets[each].record.key.value, next_revision++);
            change.record->warm_up_left = 60s;
            apply_change(directory, change, now);
        }
    }
    pass(199ms);
    CHECK_TRUE(sent.empty());
    UNSIGNED_LONGS_EQUAL(1, withheld(second_try_withheld::no_target));
}

// Failure: a packet was lost on the way; the target answers others.
TEST(second_tries_withheld, a_target_that_answers_later_openings_is_not_given_up)
{
    const target_index target = place(next_flow++).target;
    pass(1ms);
    record_opening_answered(steering.selector, directory, target, now, now);
    pass(199ms);
    CHECK_TRUE(sent.empty());
    UNSIGNED_LONGS_EQUAL(1, withheld(second_try_withheld::target_alive));
}

// Failure: after a rehash another instance gets the caller's packets, so the answer does
// not show here, and that instance could not tell two answers apart.
TEST(second_tries_withheld, a_flow_opened_elsewhere_withholds_them)
{
    const target_index target = place(next_flow++).target;
    pass(1ms);
    acknowledge(next_flow++, target == 0 ? 1 : 0);
    pass(199ms);
    CHECK_TRUE(sent.empty());
    UNSIGNED_LONGS_EQUAL(1, withheld(second_try_withheld::rehash));
}

// Failure: flows that came from a failed instance go back when it returns, which shows
// here only by the flows that came.
TEST(second_tries_withheld, a_rehash_withholds_them_for_some_seconds)
{
    for (int i = 0; i < 5; ++i)
    {
        acknowledge(next_flow++, 0);
    }
    pass(2s);
    check_withheld(second_try_withheld::rehash);
    pass(5s);
    leave_unanswered();
    UNSIGNED_LONGS_EQUAL(1, sent.size());
}

// Change: an instance joins, restarts, leaves or falls silent, so the fabric moves flows.
TEST(second_tries_withheld, a_change_of_the_fleet_withholds_them)
{
    const auto falls_silent = [this]
    {
        now += 2s;
    };
    const auto leaves = [this]
    {
        record_heartbeat(fleet, peer, ++next_revision,
                         {.incarnation = 1, .data_centre = north, .is_leaving = true},
                         now);
    };
    const auto restarts = [this]
    {
        record_heartbeat(fleet, peer, ++next_revision,
                         {.incarnation = 2, .data_centre = north}, now);
    };
    const auto is_drained = [this]
    {
        hear_peer();
        table.draining_instances.push_back(peer);
    };
    const std::function<void()> changes[] = {[this] { hear_peer(); }, falls_silent,
                                             restarts, leaves, is_drained};
    for (const auto& change : changes)
    {
        pass(6s);
        change();
        observe();
        check_withheld(second_try_withheld::rehash);
    }
}

// Change: this instance leaves, so the fabric moves its flows.
TEST(second_tries_withheld, a_leaving_instance_sends_none)
{
    observe(true);
    check_withheld(second_try_withheld::rehash);
}

// A request that may run only once gets the opening of its caller only.
TEST(second_tries_withheld, requests_that_may_not_be_repeated_get_none)
{
    table.routes.begin()->second.policy = traffic_policy{};
    leave_unanswered();
    CHECK_TRUE(sent.empty());
    CHECK_TRUE(tries.pending.empty());
}

// Change: a configuration that says so comes into force between the two.
TEST(second_tries_withheld, the_policy_in_force_when_it_is_due_decides)
{
    place(next_flow++);
    table.routes.begin()->second.policy = traffic_policy{};
    pass(199ms);
    CHECK_TRUE(sent.empty());
}

// Change: the route is removed, or leads to another service.
TEST(second_tries_withheld, the_route_in_force_when_it_is_due_decides)
{
    place(next_flow++);
    table.routes.begin()->second.services = {{.service = store}};
    pass(199ms);
    CHECK_TRUE(sent.empty());
    place(next_flow++);
    table.routes.clear();
    pass(199ms);
    CHECK_TRUE(sent.empty());
}

// Failure: a restart loses the pending openings, and the fabric is rehashing.
TEST(second_tries_withheld, a_restarted_instance_sends_none_for_some_seconds)
{
    place(1);
    steering = {};
    tries = {.share = 0.1};
    observe();
    pass(199ms);
    CHECK_TRUE(sent.empty());
    CHECK_TRUE(place(1, 200ms).is_placement);
    CHECK_TRUE(tries.pending.empty());
    tries.listeners[pack(web_listener)].tokens = 1;
    check_withheld(second_try_withheld::rehash);
}
