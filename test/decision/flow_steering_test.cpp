/// \file
/// Tests of packet steering: openings by their listener, all other packets by their
/// token.

#include "entry_fixture.hpp"

#include <functional>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(flow_steering)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    flow_steering steering;
    std::uint16_t next_flow = 1000;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        add(1, north);
        add(2, north);
    }

    void add(std::uint64_t key, data_centre_id data_centre)
    {
        apply_change(directory, announcement(key, key, data_centre), now);
    }

    steering_decision steer_packet(const flow_packet& packet)
    {
        return steer(steering, table, directory, packet, now);
    }

    /// Opens a flow whose opening is answered after 6 ms; returns its target.
    target_index open_flow()
    {
        const std::uint16_t flow = next_flow++;
        const steering_decision placed = steer_packet(opening(flow));
        CHECK_TRUE(placed.verdict == steering_verdict::forward);
        now += 6ms;
        steer_packet(continuation(flow, placed.token));
        return placed.target;
    }

    /// Opens a flow, has its opening answered and ends the flow; returns its target.
    target_index open_and_end_flow()
    {
        const std::uint16_t flow = next_flow;
        const target_index target = open_flow();
        steer_packet(ending(flow, directory.targets[target].token));
        return target;
    }

    /// Opens a flow, has its request answered after \p response_time and ends the flow;
    /// returns its target.
    target_index serve_request(const std::function<duration(target_index)>& response_time)
    {
        const std::uint16_t flow = next_flow;
        const target_index target = open_flow();
        flow_packet request = continuation(flow, directory.targets[target].token);
        request.has_payload = true;
        steer_packet(request);
        now += response_time(target);
        steer_packet(ending(flow, directory.targets[target].token));
        return target;
    }

    /// Opens flows over 400 ms, in which \p silent_targets answer no opening.
    void run_flows_without_answers_from(std::set<target_index> silent_targets)
    {
        for (int i = 0; i < 40; ++i)
        {
            const std::uint16_t flow = next_flow++;
            const steering_decision placed = steer_packet(opening(flow));
            now += 10ms;
            if (placed.verdict == steering_verdict::forward &&
                !silent_targets.contains(placed.target))
            {
                steer_packet(continuation(flow, placed.token));
                steer_packet(ending(flow, placed.token));
            }
            review_flows(steering, directory, now);
        }
    }
};

TEST(flow_steering, an_opening_goes_to_a_target_of_its_listener)
{
    const steering_decision decision = steer_packet(opening(1));
    CHECK_TRUE(decision.verdict == steering_verdict::forward);
    CHECK_TRUE(decision.is_placement);
    CHECK_TRUE(decision.token == directory.targets[decision.target].token);
}

TEST(flow_steering, an_opening_for_an_unknown_listener_has_no_route)
{
    flow_packet packet = opening(1);
    packet.listener.port = 444;
    CHECK_TRUE(steer_packet(packet).verdict == steering_verdict::no_route);
}

TEST(flow_steering, an_opening_is_placed_by_its_listener_whatever_token_it_carries)
{
    target_change other = announcement(9, 9);
    other.record->service = store;
    apply_change(directory, other, now);
    for (std::uint16_t flow = 1; flow < 5; ++flow)
    {
        flow_packet packet = opening(flow);
        packet.token = token_of({9});
        const steering_decision decision = steer_packet(packet);
        CHECK_TRUE(directory.targets[decision.target].record.service == web);
    }
}

TEST(flow_steering, any_instance_finds_the_target_by_the_token_alone)
{
    const steering_decision placed = steer_packet(opening(1));
    flow_steering other_instance;
    const steering_decision followed =
        steer(other_instance, table, directory, continuation(1, placed.token), now);
    CHECK_TRUE(followed.verdict == steering_verdict::forward);
    UNSIGNED_LONGS_EQUAL(placed.target, followed.target);
}

TEST(flow_steering, a_packet_with_an_unknown_token_is_not_forwarded)
{
    CHECK_TRUE(steer_packet(continuation(1, {0})).verdict ==
               steering_verdict::unknown_token);
    CHECK_TRUE(steer_packet(continuation(1, {77})).verdict ==
               steering_verdict::unknown_token);
}

TEST(flow_steering, an_open_flow_keeps_a_target_that_is_gone)
{
    const steering_decision placed = steer_packet(opening(1));
    const std::uint64_t key = directory.targets[placed.target].record.key.value;
    apply_change(directory, departure(key, 50), now);
    const steering_decision followed = steer_packet(continuation(1, placed.token));
    CHECK_TRUE(followed.verdict == steering_verdict::forward);
    UNSIGNED_LONGS_EQUAL(placed.target, followed.target);
}

TEST(flow_steering,
     a_retransmitted_opening_goes_to_another_target_if_the_first_has_not_answered)
{
    const steering_decision first = steer_packet(opening(1));
    now += 200ms;
    const steering_decision second = steer_packet(opening(1, 200ms));
    CHECK_TRUE(second.verdict == steering_verdict::forward);
    CHECK_TRUE(second.target != first.target);
}

TEST(flow_steering,
     a_retransmitted_opening_goes_to_the_same_target_if_that_has_answered_a_later_one)
{
    const steering_decision first = steer_packet(opening(1));
    now += 10ms;
    while (open_flow() != first.target)
    {
    }
    now += 190ms;
    UNSIGNED_LONGS_EQUAL(first.target, steer_packet(opening(1, 200ms)).target);
}

TEST(flow_steering, a_late_answer_of_another_target_does_not_move_the_flow)
{
    const steering_decision first = steer_packet(opening(1));
    now += 200ms;
    const steering_decision second = steer_packet(opening(1, 200ms));
    steer_packet(continuation(1, second.token));
    now += 50ms;
    // The caller has also received the first target's answer, with the first token.
    UNSIGNED_LONGS_EQUAL(second.target,
                         steer_packet(continuation(1, first.token)).target);
}

TEST(flow_steering, a_target_that_leaves_openings_unanswered_is_avoided)
{
    run_flows_without_answers_from({0});
    CHECK_TRUE(is_suspect(steering.selector.stats[0]));
    int chosen = 0;
    for (int i = 0; i < 20; ++i)
    {
        chosen += open_and_end_flow() == 0 ? 1 : 0;
    }
    CHECK_TRUE(chosen <= 1);
}

TEST(flow_steering, a_suspect_target_is_trusted_again_after_one_answer)
{
    run_flows_without_answers_from({0});
    for (int i = 0; i < 600 && is_suspect(steering.selector.stats[0]); ++i)
    {
        open_and_end_flow();
        review_flows(steering, directory, now);
    }
    CHECK_FALSE(is_suspect(steering.selector.stats[0]));
}

TEST(flow_steering, openings_wait_when_every_target_is_full)
{
    for (int i = 0; i < 8; ++i)
    {
        open_flow();
    }
    CHECK_TRUE(steer_packet(opening(1)).verdict == steering_verdict::wait);
}

TEST(flow_steering, a_flow_that_ends_frees_a_slot)
{
    for (int i = 0; i < 8; ++i)
    {
        open_flow();
    }
    steer_packet(ending(1000, token_of({1})));
    steer_packet(ending(1001, token_of({2})));
    CHECK_TRUE(steer_packet(opening(1)).verdict == steering_verdict::forward);
}

TEST(flow_steering, openings_lost_while_the_fabric_rehashes_make_no_target_suspect)
{
    for (std::uint16_t flow = 1; flow < 10; ++flow)
    {
        steer_packet(continuation(flow, token_of({2})));
    }
    run_flows_without_answers_from({0});
    CHECK_FALSE(is_suspect(steering.selector.stats[0]));
}

TEST(flow_steering, a_silent_flow_stops_counting_as_load)
{
    open_flow();
    now += 1s;
    review_flows(steering, directory, now);
    UNSIGNED_LONGS_EQUAL(0, steering.selector.stats[0].in_flight +
                                steering.selector.stats[1].in_flight);
}

TEST(flow_steering, a_request_counts_as_load_until_its_answer_and_an_idle_flow_does_not)
{
    const std::uint16_t flow = next_flow;
    const target_index target = open_flow();
    flow_packet request = continuation(flow, directory.targets[target].token);
    request.has_payload = true;
    steer_packet(request);
    now += 70ms;
    steer_packet(continuation(flow, directory.targets[target].token));
    CHECK_EQUAL_TEXT(0U, steering.selector.stats[target].in_flight,
                     "the request was answered");
    DOUBLES_EQUAL(70, steering.selector.stats[target].response_time_ms, 0.001);
    now += 10s;
    steer_packet(request);
    CHECK_EQUAL_TEXT(1U, steering.selector.stats[target].in_flight,
                     "another request was sent");
    now += 70ms;
    steer_packet(continuation(flow, directory.targets[target].token));
    DOUBLES_EQUAL(70, steering.selector.stats[target].response_time_ms, 0.001);
}

TEST(flow_steering, the_next_request_of_a_flow_shows_that_the_one_before_was_answered)
{
    const std::uint16_t flow = next_flow;
    const target_index target = open_flow();
    flow_packet request = continuation(flow, directory.targets[target].token);
    request.has_payload = true;
    for (std::uint64_t number = 1; number < 4; ++number)
    {
        request.request = {number};
        steer_packet(request);
        now += 30ms;
        steer_packet(request);
        now += 30ms;
    }
    DOUBLES_EQUAL(60, steering.selector.stats[target].response_time_ms, 0.001);
}

TEST(flow_steering, a_callers_pause_between_requests_does_not_count_as_response_time)
{
    const std::uint16_t flow = next_flow;
    const target_index target = open_flow();
    flow_packet request = continuation(flow, directory.targets[target].token);
    request.has_payload = true;
    request.request = {1};
    steer_packet(request);
    now += 9s;
    review_flows(steering, directory, now);
    request.request = {2};
    steer_packet(request);
    DOUBLES_EQUAL(0, steering.selector.stats[target].response_time_ms, 0.001);
}

TEST(flow_steering, openings_wait_while_requests_take_most_of_their_latency_goal)
{
    table.routes.begin()->second.latency_goal = 100ms;
    for (std::uint64_t key = 3; key < 40; ++key)
    {
        add(key, north);
    }
    steering.selector.instances = 40;
    std::vector<std::pair<std::uint16_t, flow_token>> requests;
    bool has_waited = false;
    for (int i = 0; i < 400 && !has_waited; ++i)
    {
        const std::uint16_t flow = next_flow++;
        const steering_decision placed = steer_packet(opening(flow));
        has_waited = i > 100 && placed.verdict == steering_verdict::wait;
        if (placed.verdict == steering_verdict::forward)
        {
            flow_packet request = continuation(flow, placed.token);
            request.has_payload = true;
            steer_packet(request);
            requests.emplace_back(flow, placed.token);
        }
        now += 10ms;
        if (requests.size() > 9)
        {
            steer_packet(ending(requests.front().first, requests.front().second));
            requests.erase(requests.begin());
        }
    }
    CHECK_TRUE_TEXT(has_waited, "answers take 90 ms of 100 ms, with many slots free");
}

TEST(flow_steering, targets_of_similar_speed_get_similar_numbers_of_flows)
{
    for (std::uint64_t key = 3; key <= 10; ++key)
    {
        add(key, north);
    }
    std::map<target_index, int> placed;
    for (int i = 0; i < 2000; ++i)
    {
        // Every other target is 10 % slower.
        ++placed[serve_request([](target_index target)
                               { return target % 2 == 0 ? 60ms : 66ms; })];
    }
    for (const auto& [target, flows] : placed)
    {
        CHECK_TRUE_TEXT(flows > 150 && flows < 250, "an even share is 200");
    }
    UNSIGNED_LONGS_EQUAL(10, placed.size());
}

TEST(flow_steering, a_target_that_fails_its_requests_at_once_gets_few_flows)
{
    add(3, north);
    for (int i = 0; i < 100; ++i)
    {
        serve_request([](target_index) { return 66ms; });
    }
    std::map<target_index, int> placed;
    for (int i = 0; i < 200; ++i)
    {
        ++placed[serve_request([](target_index target)
                               { return target == 0 ? 7ms : 66ms; })];
    }
    CHECK_TRUE_TEXT(placed[0] < 15, "a failing target gets a few flows of 200");
}

TEST(flow_steering, no_target_is_avoided_when_most_targets_fail)
{
    add(3, north);
    for (int i = 0; i < 100; ++i)
    {
        serve_request([](target_index) { return 66ms; });
    }
    now += 60s;
    std::map<target_index, int> placed;
    for (int i = 0; i < 400; ++i)
    {
        if (i == 300)
        {
            placed.clear();
        }
        ++placed[serve_request([](target_index target)
                               { return target != 0 ? 7ms : 66ms; })];
    }
    CHECK_TRUE_TEXT(placed[0] < 60, "the only working target must not get all flows");
}
