/// \file
/// Placement of slots: even, and little moved by a change.

#include <kumquatpath/decision/placement.hpp>

#include <algorithm>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

namespace
{

std::vector<target_id> targets_up_to(std::uint32_t count)
{
    std::vector<target_id> targets;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        targets.push_back({i});
    }
    return targets;
}

} // namespace

TEST_GROUP(placement){};

TEST(placement, no_target_holds_more_than_its_share_and_the_slack)
{
    const auto targets = targets_up_to(14);
    const auto slot_count = slot_count_for(targets.size());
    std::map<target_id, std::size_t> held;
    for (const target_id each : place_slots(targets, slot_count))
    {
        ++held[each];
    }
    const auto most = std::ranges::max_element(
        held, {}, [](const auto& entry) { return entry.second; });

    LONGS_EQUAL(14, held.size());
    CHECK_COMPARE(most->second * 14, <=, slot_count * 103 / 100 + 14);
}

TEST(placement, a_target_that_goes_moves_little_more_than_its_own_slots)
{
    const auto all = targets_up_to(14);
    const std::vector<target_id> fewer(all.begin(), all.end() - 1);
    const auto slot_count = slot_count_for(all.size());
    const auto before = place_slots(all, slot_count);
    const auto after = place_slots(fewer, slot_count);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < slot_count; ++i)
    {
        moved += before[i] == after[i] ? 0U : 1U;
    }

    CHECK_COMPARE(moved, <=, slot_count / 14 * 2);
}

TEST(placement, a_service_without_targets_places_nothing)
{
    CHECK_TRUE(place_slots({}, 1024).empty());
}
