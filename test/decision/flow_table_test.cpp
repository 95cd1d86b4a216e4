/// \file
/// The bounded table of flows.

#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/decision/flow_table.hpp>

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

namespace
{

flow_key key_of(std::uint64_t flow)
{
    return {{1}, {flow}};
}

} // namespace

TEST_GROUP(flow_table)
{
    flow_table table = make_flow_table(1000);
    time_point now{std::chrono::hours(1)};

    flow_entry* add(std::uint64_t flow)
    {
        flow_entry* entry = insert_flow(table, key_of(flow));
        if (entry != nullptr)
        {
            entry->role = flow_role::kept;
            entry->target = {static_cast<std::uint32_t>(flow)};
            entry->seen = in_flow_ticks(now);
        }
        return entry;
    }
};

TEST(flow_table, a_full_table_refuses_and_counts_and_forgets_nothing)
{
    for (std::uint64_t flow = 1; flow <= 1000; ++flow)
    {
        add(flow);
    }

    POINTERS_EQUAL(nullptr, add(1001));
    LONGS_EQUAL(1, table.refused);
    LONGS_EQUAL(1000, table.size);
    LONGS_EQUAL(1, find_flow(table, key_of(1))->target.value);
}

TEST(flow_table, a_held_flow_costs_at_most_32_bytes_with_the_free_places)
{
    const std::size_t most = flow_router_options{}.most_flows;
    const flow_table usual = make_flow_table(most);

    CHECK_COMPARE(usual.places.size() * sizeof(flow_entry), <=, 32 * most);
    CHECK_COMPARE(most * 4, <=, usual.places.size() * 3);
}

TEST(flow_table, any_order_of_erasures_leaves_the_others_to_be_found)
{
    std::vector<bool> held(1500);
    std::uint64_t random = 1;
    for (int step = 0; step < 20000; ++step)
    {
        random = mix(random, 5);
        const std::uint64_t flow = random % 1500;
        if ((random >> 32U) % 2 == 0 && table.size < 1000)
        {
            add(flow);
            held[flow] = true;
        }
        else
        {
            erase_flow(table, key_of(flow));
            held[flow] = false;
        }
    }
    std::size_t wrong = 0;
    for (std::uint64_t flow = 0; flow < held.size(); ++flow)
    {
        wrong += (find_flow(table, key_of(flow)) != nullptr) == held[flow] ? 0U : 1U;
    }

    LONGS_EQUAL(0, wrong);
    LONGS_EQUAL(std::ranges::count(held, true), table.size);
}

TEST(flow_table, a_sweep_forgets_only_flows_that_were_idle_for_longer)
{
    using std::chrono::minutes;
    for (std::uint64_t flow = 1; flow <= 500; ++flow)
    {
        add(flow);
    }
    now += minutes(3);
    for (std::uint64_t flow = 501; flow <= 700; ++flow)
    {
        add(flow);
    }
    sweep_flows(table, table.places.size(), minutes(2), now);

    LONGS_EQUAL(200, table.size);
    POINTERS_EQUAL(nullptr, find_flow(table, key_of(500)));
}

TEST(flow_table, flows_of_two_services_with_one_number_are_two_flows)
{
    add(1);

    POINTERS_EQUAL(nullptr, find_flow(table, {{2}, {1}}));
}
