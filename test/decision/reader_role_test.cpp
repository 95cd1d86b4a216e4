/// \file
/// Tests of which instances of a fleet read the shared state, with the heartbeats that
/// they send each other.

#include "entry_fixture.hpp"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr auto tick_interval = 50ms;
/// A read that finds no change returns after this long.
constexpr auto read_interval = 1000ms;
constexpr auto heartbeat_interval = 400ms;

entry_instance make_instance(std::uint32_t id)
{
    return make_entry_instance({.self = {id},
                                .local_data_centre = north,
                                .address = {.address = id, .port = 7000},
                                .incarnation = id});
}

} // namespace

TEST_GROUP(reader_role)
{
    time_point now{100s};
    /// In the order in which they act in each tick.
    std::array<entry_instance, 3> instances{make_instance(3), make_instance(1),
                                            make_instance(2)};
    std::array<bool, 3> reads{true, true, true};

    void setup() override
    {
        for (entry_instance& each : instances)
        {
            apply_state_update(each, {.position = {10}, .is_whole = true}, now);
        }
    }

    void send_heartbeats(entry_instance & sender)
    {
        ++sender.heartbeats_sent;
        const fleet_heartbeat heartbeat = make_heartbeat(sender, now);
        const fleet_message message{.sender = sender.fleet.self,
                                    .sequence = sender.heartbeats_sent,
                                    .body = heartbeat};
        for (entry_instance& each : instances)
        {
            if (each.fleet.self != sender.fleet.self)
            {
                handle_heartbeat(each, message, heartbeat, now);
            }
        }
    }

    void run_for(duration time)
    {
        const time_point start = now;
        for (; now < start + time; now += tick_interval)
        {
            const bool is_read_due = (now - start) % read_interval == 0ms;
            const bool is_heartbeat_due = (now - start) % heartbeat_interval == 0ms;
            for (std::size_t i = 0; i < instances.size(); ++i)
            {
                entry_instance& each = instances[i];
                if (is_read_due && reads[i])
                {
                    // The first of the three is answered last, so its read is the newest.
                    record_state_read(each, now - (i == 0 ? 0ms : 1ms), now);
                }
                reads[i] = update_reader_role(each.fleet, each.directory.position, now);
            }
            for (entry_instance& each : instances)
            {
                if (is_heartbeat_due)
                {
                    send_heartbeats(each);
                }
            }
        }
    }
};

// Two instances suffice. Peers that tell only of the newest read would tell the third one
// of nothing but its own reads, and it would go on for ever.
TEST(reader_role, a_third_reader_ends_although_its_reads_are_always_the_newest)
{
    run_for(10s);
    CHECK_FALSE(reads[0]);
    CHECK_TRUE(reads[1]);
    CHECK_TRUE(reads[2]);
}
