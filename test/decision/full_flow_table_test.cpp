/// \file
/// Tests of steering while the flow table is full, as after a long outage or in a flood.

#include "entry_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(full_flow_table)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    flow_steering steering;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        apply_change(directory, announcement(1, 1), now);
        for (std::uint64_t flow = 0; flow < max_tracked_flows; ++flow)
        {
            steering.flows[100'000 + flow] = {.opened_at = now, .last_seen = now};
        }
    }

    steering_decision steer_packet(const flow_packet& packet)
    {
        return steer(steering, table, directory, packet, now);
    }

    /// Sends packets of flows that were not opened here.
    void continue_flows(std::uint16_t first, std::uint16_t count)
    {
        for (std::uint16_t flow = first; flow < first + count; ++flow)
        {
            const auto decision =
                steer_packet(continuation(flow, directory.targets[0].token));
            CHECK_TRUE(decision.verdict == steering_verdict::forward);
        }
    }

    /// Opens flows, each of which then sends a packet.
    void serve_flows(std::uint16_t first, std::uint16_t count)
    {
        for (std::uint16_t flow = first; flow < first + count; ++flow)
        {
            CHECK_TRUE(steer_packet(opening(flow)).is_placement);
        }
        continue_flows(first, count);
    }
};

// An instance that takes its own flows for moved ones never finds a target suspect.
TEST(full_flow_table, own_flows_that_are_not_tracked_are_no_sign_of_a_rehash)
{
    serve_flows(1, 10);
    CHECK_FALSE(is_rehashing(steering, now));
}

TEST(full_flow_table, flows_opened_elsewhere_are_a_sign_of_a_rehash)
{
    continue_flows(1, 10);
    CHECK_TRUE(is_rehashing(steering, now));
}

TEST(full_flow_table, once_own_flows_are_over_others_are_a_sign_of_a_rehash_again)
{
    serve_flows(1, 10);
    now += 20s;
    continue_flows(11, 10);
    CHECK_TRUE(is_rehashing(steering, now));
}
