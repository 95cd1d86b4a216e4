/// \file
/// What operators are told of drains that are going on.

#include "src/daemon/drain_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

configuration two_targets()
{
    configuration whole;
    whole.data_centres = {{.id = {1}, .name = "north"}, {.id = {2}, .name = "south"}};
    whole.pools = {{.name = "hosts",
                    .targets = {{.id = {10}, .name = "a", .data_centre = {1}},
                                {.id = {20}, .name = "b", .data_centre = {2}}}}};
    whole.services = {{.id = {5},
                       .name = "web",
                       .flow_lifetime = 3600s,
                       .epochs = {{.retired_in = {2},
                                   .retired_at = wall_time(0ms),
                                   .targets = {{10}, {20}}}}}};
    return whole;
}

} // namespace

TEST_GROUP(drain_view)
{
    configuration whole = two_targets();
    flow_router router = make_flow_router({.self = {1}});
};

TEST(drain_view, nothing_is_told_when_nothing_drains)
{
    LONGS_EQUAL(0, drains_of(whole, router, wall_time(0ms)).size());
}

TEST(drain_view, a_target_waits_for_its_known_and_its_older_flows)
{
    whole.pools[0].targets[0].state = administrative_state::draining;
    flow_entry* const entry = insert_flow(router.flows, {{5}, {77}});
    entry->target = {10};
    entry->role = flow_role::kept;
    const auto drains = drains_of(whole, router, wall_time(600s));

    LONGS_EQUAL(1, drains.size());
    STRCMP_EQUAL("a", drains[0].name.c_str());
    STRCMP_EQUAL("1 flows known here, and older ones for at most 50 min",
                 drains[0].waits_for.c_str());
}

TEST(drain_view, a_data_centre_drains_with_its_targets)
{
    whole.data_centres[1].state = administrative_state::draining;
    const auto drains = drains_of(whole, router, wall_time(4000s));

    LONGS_EQUAL(2, drains.size());
    STRCMP_EQUAL("data-centre", drains[0].kind.c_str());
    STRCMP_EQUAL("b", drains[1].name.c_str());
    STRCMP_EQUAL("0 flows known here", drains[1].waits_for.c_str());
}
