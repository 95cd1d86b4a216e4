/// \file
/// Tests of which services have no target for new flows because of evacuations.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/target_availability.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(target_availability)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    evacuation_table evacuations;

    void add(std::uint64_t key, service_id service, data_centre_id data_centre)
    {
        target_change change = announcement(key, key, data_centre);
        change.record->service = service;
        apply_change(directory, change, now);
    }

    void evacuate(data_centre_id data_centre, bool is_withdrawn = false)
    {
        const evacuation_change change{.data_centre = data_centre,
                                       .revision = {is_withdrawn ? 101U : 100U},
                                       .is_withdrawn = is_withdrawn};
        apply_evacuations(evacuations, {.evacuations = {change}}, {}, now);
        mark_evacuated_targets(directory, evacuations);
    }

    std::set<service_id> evacuated()
    {
        return find_evacuated_services(table, directory, now);
    }
};

TEST(target_availability, a_service_is_evacuated_while_all_its_targets_are)
{
    add(1, web, north);
    add(2, web, south);
    evacuate(north);
    CHECK_TRUE(evacuated().empty());
    evacuate(south);
    CHECK_TRUE(evacuated() == std::set{web});
    evacuate(south, true);
    CHECK_TRUE(evacuated().empty());
}

TEST(target_availability, a_service_without_targets_is_not_evacuated)
{
    evacuate(north);
    CHECK_TRUE(evacuated().empty());
    add(1, web, north);
    apply_change(directory, departure(1, 2), now);
    mark_evacuated_targets(directory, evacuations);
    CHECK_TRUE(evacuated().empty());
}

TEST(target_availability, every_service_of_a_route_counts_and_no_other)
{
    add(1, web, south);
    add(2, store, north);
    evacuate(north);
    CHECK_TRUE(evacuated().empty());
    table.routes.begin()->second.services = {{.service = web}, {.service = store}};
    CHECK_TRUE(evacuated() == std::set{store});
}
