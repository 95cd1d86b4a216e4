#ifndef KUMQUATPATH_TEST_DECISION_WARM_UP_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_WARM_UP_FIXTURE_HPP

/// \file
/// One instance and one target that warms up.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <CppUTest/TestHarness.h>

namespace kumquatpath::test
{

using namespace std::chrono_literals;

struct warm_up_fixture : Utest
{
    time_point now{1000s};
    target_directory directory;
    warm_up_allowance allowance;
    warm_up_policy policy{.duration = 20s, .flows_per_second = 10};

    void announce(std::uint64_t revision, std::chrono::milliseconds left,
                  std::uint64_t incarnation = 7)
    {
        target_change change = announcement(1, revision);
        change.record->warm_up_left = left;
        change.record->incarnation = incarnation;
        apply_change(directory, change, now);
    }

    bool is_cold()
    {
        return is_warming_up(directory.targets[0], &policy, now);
    }

    bool use()
    {
        const bool is_allowed =
            warm_up_use_of(allowance, &policy, directory, 0, 0, now).is_allowed;
        if (is_allowed)
        {
            record_warm_up_use(allowance, &policy, directory, 0, now);
        }
        return is_allowed;
    }

    int uses_within(duration time)
    {
        int uses = 0;
        for (const time_point end = now + time; now < end; now += 5ms)
        {
            uses += use() ? 1 : 0;
        }
        return uses;
    }

    /// Returns the share of 2,000 flows that consider the target at its usual cost.
    double drawn_share()
    {
        int drawn = 0;
        for (std::uint64_t random = 1; random <= 2000; ++random)
        {
            const warm_up_use use_now =
                warm_up_use_of(allowance, &policy, directory, 0, random, now);
            CHECK_TRUE(use_now.is_allowed);
            drawn += use_now.cost == 0 ? 1 : 0;
        }
        return drawn / 2000.0;
    }
};

} // namespace kumquatpath::test

#endif
