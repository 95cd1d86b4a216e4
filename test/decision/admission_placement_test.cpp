/// \file
/// Tests of which openings have to queue, and of the placement of those that wait.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/admission_placement.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr endpoint store_listener{.address = 0xc6120002, .port = 443};
/// The flows that a target of two slots holds.
constexpr std::uint16_t room = 4;

} // namespace

TEST_GROUP(admission_placement)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    flow_steering steering;
    admission_order order;
    opening_queue queue;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        table.routes.emplace(pack(store_listener),
                             route{.name = "store", .services = {{.service = store}}});
    }

    void add_target(std::uint64_t key, service_id service)
    {
        target_change change = announcement(key, key);
        change.record->service = service;
        apply_change(directory, change, now);
    }

    static flow_packet opening_at(const endpoint& listener, std::uint16_t flow)
    {
        flow_packet packet = opening(flow);
        packet.listener = listener;
        return packet;
    }

    void add(const flow_packet& packet, std::uint32_t priority = 0)
    {
        const route* const found = find_route(table, packet.listener);
        add_opening(queue, {.packet = packet,
                            .first_sent_at = now,
                            .queued_at = now,
                            .placement_deadline = now + 400ms,
                            .service = found->services.front().service,
                            .further_services = further_services_of(*found),
                            .priority = priority});
    }

    std::vector<steered_opening> take()
    {
        return take_admissible(order, queue, steering, table, directory, now);
    }

    bool is_behind(const flow_packet& packet)
    {
        return is_behind_others(queue, steering, table, packet);
    }
};

TEST(admission_placement, openings_are_taken_by_priority_until_the_targets_are_full)
{
    add_target(1, web);
    for (std::uint16_t flow = 1; flow <= 10; ++flow)
    {
        add(opening(flow), flow <= 5 ? 1 : 0);
    }
    const std::vector<steered_opening> taken = take();
    UNSIGNED_LONGS_EQUAL(room, taken.size());
    for (const steered_opening& each : taken)
    {
        UNSIGNED_LONGS_EQUAL(0, each.opening.priority);
        CHECK_TRUE(each.decision.verdict == steering_verdict::forward);
    }
    UNSIGNED_LONGS_EQUAL(10 - room, queue.openings.size());
}

TEST(admission_placement, a_listener_without_room_does_not_hold_up_another)
{
    add_target(1, web);
    add_target(2, store);
    for (std::uint16_t flow = 1; flow <= 10; ++flow)
    {
        add(opening(flow));
    }
    add(opening_at(store_listener, 11), 1);
    const std::vector<steered_opening> taken = take();
    UNSIGNED_LONGS_EQUAL(room + 1, taken.size());
    CHECK_TRUE(taken.back().opening.packet.listener == store_listener);
}

TEST(admission_placement, an_opening_whose_route_is_gone_is_taken_without_a_target)
{
    add_target(1, web);
    add(opening(1));
    table.routes.erase(pack(web_listener));
    const std::vector<steered_opening> taken = take();
    UNSIGNED_LONGS_EQUAL(1, taken.size());
    CHECK_TRUE(taken[0].decision.verdict == steering_verdict::no_route);
    UNSIGNED_LONGS_EQUAL(0, queue.openings.size());
}

TEST(admission_placement, nothing_is_taken_before_the_next_plan_is_due)
{
    add(opening(1));
    order.next_plan = now + 1ms;
    UNSIGNED_LONGS_EQUAL(0, take().size());
    now += 1ms;
    UNSIGNED_LONGS_EQUAL(1, take().size());
}

TEST(admission_placement, an_opening_queues_behind_those_for_its_service_only)
{
    CHECK_FALSE(is_behind(opening(2)));
    add(opening(1));
    CHECK_TRUE(is_behind(opening(2)));
    CHECK_FALSE(is_behind(opening_at(store_listener, 2)));
    CHECK_FALSE(is_behind(opening_at({.address = 1, .port = 1}, 2)));
}

TEST(admission_placement, a_flow_that_is_placed_queues_behind_none)
{
    add_target(1, web);
    CHECK_TRUE(steer(steering, table, directory, opening(2), now).is_placement);
    add(opening(1));
    CHECK_FALSE(is_behind(opening(2)));
    CHECK_TRUE(is_behind(opening(3)));
}

// Which service an opening of such a route gets is drawn at each attempt.
TEST(admission_placement, an_opening_queues_behind_those_for_any_service_of_its_route)
{
    table.routes.at(pack(web_listener)).services = {{.service = web}, {.service = store}};
    add(opening_at(store_listener, 1));
    CHECK_TRUE(is_behind(opening(2)));
}

TEST(admission_placement, an_opening_waits_for_every_service_of_its_route)
{
    table.routes.at(pack(web_listener)).services = {{.service = web}, {.service = store}};
    add(opening(1));
    CHECK_TRUE(is_behind(opening_at(store_listener, 2)));
    take_all(queue);
    CHECK_FALSE(is_behind(opening_at(store_listener, 2)));
}
