/// \file
/// Who keeps which slots, and whom a new keeper asks.

#include "flow_fixture.hpp"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;

TEST_GROUP(keeper_groups)
{
    std::unique_ptr<keeper_groups> groups = std::make_unique<keeper_groups>();
    time_point now{std::chrono::seconds(100)};

    /// Counts the groups that \p is_meant holds for.
    template <class Predicate>
    std::size_t count(Predicate is_meant) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(*groups, is_meant));
    }
};

TEST(keeper_groups, the_replica_is_in_another_data_centre)
{
    adopt_keepers(*groups, make_view(1, 8), now);
    const auto shares = [](const keeper_group& each)
    {
        return each.now.first.value % 3 == each.now.replica.value % 3;
    };

    LONGS_EQUAL(0, count(shares));
}

TEST(keeper_groups, a_joining_instance_changes_only_the_keepers_that_it_becomes)
{
    adopt_keepers(*groups, make_view(1, 7), now);
    const keeper_groups before = *groups;
    adopt_keepers(*groups, make_view(1, 8), now);
    std::size_t strange = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        const instance_id first = (*groups)[i].now.first;
        strange += first != before[i].now.first && first != instance_id{8} ? 1U : 0U;
    }

    LONGS_EQUAL(0, strange);
}

TEST(keeper_groups, an_instance_that_starts_asks_the_keeper_that_was_there_before_it)
{
    adopt_keepers(*groups, make_view(8, 8), now);
    const auto has_to_ask = [](const keeper_group& each)
    {
        return !each.is_complete && each.former != instance_id{8};
    };
    const auto is_mine = [](const keeper_group& each)
    {
        return each.now.first.value == 8 || each.now.replica.value == 8;
    };

    LONGS_EQUAL(count(is_mine), count(has_to_ask));
}

TEST(keeper_groups, a_replica_takes_over_from_a_leaving_keeper_and_may_still_ask_it)
{
    member_view view = make_view(1, 8);
    adopt_keepers(*groups, view, now);
    const keeper_groups before = *groups;
    view.members[1].state = member_state::leaving;
    adopt_keepers(*groups, view, now);
    std::size_t taken = 0;
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        const bool takes_over =
            before[i].now.first == instance_id{2} && (*groups)[i].now.first == view.self;
        taken += takes_over ? 1U : 0U;
        wrong += takes_over && (*groups)[i].former != instance_id{2} ? 1U : 0U;
    }

    CHECK_COMPARE(taken, >, 0U);
    LONGS_EQUAL(0, wrong);
}

TEST(keeper_groups, a_dead_keeper_is_not_asked)
{
    member_view view = make_view(1, 8);
    adopt_keepers(*groups, view, now);
    view.members[1].state = member_state::dead;
    adopt_keepers(*groups, view, now);

    LONGS_EQUAL(
        0, count([](const keeper_group& each) { return each.former == instance_id{2}; }));
}
