#ifndef KUMQUATPATH_TEST_DECISION_SECOND_TRIES_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_SECOND_TRIES_FIXTURE_HPP

/// \file
/// An instance with ten targets that have answered openings, and a budget of second
/// tries.

#include "entry_fixture.hpp"

#include <CppUTest/TestHarness.h>

namespace kumquatpath::test
{

using namespace std::chrono_literals;

inline const instance_id peer = id_of<instance_id>("peer");

struct second_tries_fixture : Utest
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    flow_steering steering;
    second_tries tries;
    fleet_peers fleet;
    std::vector<second_try> sent;
    std::uint16_t next_flow = 1000;
    std::uint64_t next_revision = 1;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        fleet.local_data_centre = north;
        table.routes.begin()->second.policy = traffic_policy{.is_repeatable = true};
        tries.share = 0.1;
        for (std::uint64_t key = 1; key <= 10; ++key)
        {
            add(key);
        }
        observe();
        now += 10s;
        answer_openings(200, 5ms);
    }

    void add(std::uint64_t key)
    {
        apply_change(directory, announcement(key, next_revision++), now);
    }

    void remove(target_index target)
    {
        apply_change(
            directory,
            departure(directory.targets[target].record.key.value, next_revision++), now);
    }

    void observe(bool is_leaving = false)
    {
        observe_fleet(tries, fleet, &table, is_leaving, now);
    }

    void hear_peer()
    {
        record_heartbeat(fleet, peer, ++next_revision,
                         {.incarnation = 1, .data_centre = north}, now);
    }

    /// Lets \p time pass in steps of a millisecond.
    void pass(duration time)
    {
        for (const time_point end = now + time; now < end; now += 1ms)
        {
            review_flows(steering, directory, now);
            for (second_try& each : take_due(tries, steering, table, directory, now))
            {
                sent.push_back(std::move(each));
            }
        }
    }

    steering_decision place(std::uint16_t flow, duration age = 0ms)
    {
        const flow_packet packet = opening(flow, age);
        const steering_decision decision = steer(steering, table, directory, packet, now);
        if (decision.is_placement)
        {
            record_opening(tries, table, directory, steering, packet,
                           std::vector<std::byte>(32), packet.caller, decision.target,
                           now);
        }
        return decision;
    }

    steering_decision acknowledge(std::uint16_t flow, target_index target)
    {
        const steering_decision decision =
            steer(steering, table, directory,
                  continuation(flow, directory.targets[target].token), now);
        if (decision.opening_time)
        {
            record_answer(tries, {flow}, directory.targets[decision.target], now);
        }
        return decision;
    }

    void end(std::uint16_t flow, target_index target)
    {
        steer(steering, table, directory, ending(flow, directory.targets[target].token),
              now);
    }

    /// Opens \p count flows one after another; each opening is answered after \p time.
    void answer_openings(int count, duration time)
    {
        for (int i = 0; i < count; ++i)
        {
            const std::uint16_t flow = next_flow++;
            const target_index target = place(flow).target;
            pass(time);
            acknowledge(flow, target);
            end(flow, target);
        }
    }

    listener_second_tries counts()
    {
        return tries.listeners[pack(web_listener)];
    }

    std::uint64_t withheld(second_try_withheld reason)
    {
        return counts().withheld[static_cast<std::size_t>(reason)];
    }

    /// Leaves an opening unanswered for as long as callers wait before they retransmit
    /// it.
    void leave_unanswered()
    {
        place(next_flow++);
        pass(199ms);
    }

    /// Checks that an opening left unanswered gets no second try, for \p reason.
    void check_withheld(second_try_withheld reason)
    {
        const std::uint64_t before = withheld(reason);
        leave_unanswered();
        CHECK_TRUE(sent.empty());
        UNSIGNED_LONGS_EQUAL(before + 1, withheld(reason));
    }

    std::uint64_t total_in_flight()
    {
        std::uint64_t total = 0;
        for (const target_stats& each : steering.selector.stats)
        {
            total += each.in_flight;
        }
        return total;
    }

    /// Opens a flow whose second try has been sent; returns that second try.
    second_try send_one(std::uint16_t flow)
    {
        place(flow);
        while (sent.empty())
        {
            pass(1ms);
        }
        return sent.front();
    }
};

} // namespace kumquatpath::test

#endif
