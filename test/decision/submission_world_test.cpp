/// \file
/// Eight instances under kills, pauses, cuts, replacements and outages of the store, in
/// virtual time: no submission runs twice, and "not run" is true. Each mechanism is seen
/// to be needed by a run of the same world without it.

#include "bench/retry_run.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::bench;
using namespace std::chrono_literals;

namespace
{

/// Claims so many that none are decided in advance, and so few that most are.
constexpr double many_claims = 100;
constexpr double few_claims = 1;

/// Coordinators die or stop just after a claim, at least once a second.
constexpr world_options strikes{.length = 200s,
                                .kills_per_claim = 0.004,
                                .pauses_per_claim = 0.004,
                                .fault_interval = 8s,
                                .renamed = 0.3,
                                .store_lease = 30s};

/// Every instance that dies is replaced under another name, so the roster changes often,
/// and many copies are there to run twice.
constexpr world_options replacements{.length = 200s,
                                     .submissions_per_second = 80,
                                     .loss = 0.03,
                                     .duplication = 0.3,
                                     .fault_interval = 8s,
                                     .renamed = 1,
                                     .store_lease = 30s};

ledger run(world_options options, submission_variant variant, std::uint64_t seed,
           double claims)
{
    options.variant = variant;
    options.seed = seed;
    options.claims_per_second = claims;
    return run_world(options);
}

/// Checks that one of a few seeds breaks \p variant.
void check_fails(const world_options& options, submission_variant variant,
                 double claims = many_claims)
{
    constexpr std::uint64_t most_seeds = 20;
    double twice = 0;
    for (std::uint64_t seed = 1; twice == 0 && seed <= most_seeds; ++seed)
    {
        twice = run_twice(run(options, variant, seed, claims));
    }
    CHECK_COMPARE(twice, >, 0);
}

/// Checks that \p seed breaks nothing.
void check_holds(const world_options& options, std::uint64_t seed, double claims)
{
    const ledger outcome = run(options, submission_variant::claims, seed, claims);
    CHECK_COMPARE(outcome.fates.size(), >, 7000);
    DOUBLES_EQUAL(0, run_twice(outcome), 0);
    DOUBLES_EQUAL(0, false_not_run(outcome), 0);
    LONGS_EQUAL(0, outcome.misdelivered);
    LONGS_EQUAL(0, outcome.lost_answers);
}

/// Ends the process on a broken invariant for as long as it lives.
struct fatal_violations
{
    fatal_violations()
    {
        violation_policy_is(violation_policy::abort);
    }
    ~fatal_violations()
    {
        violation_policy_is(violation_policy::count);
    }
};

} // namespace

TEST_GROUP(submission_world){};

TEST(submission_world, no_submission_runs_twice_and_not_run_is_true)
{
    const fatal_violations fatal;
    for (const std::uint64_t seed : {1U, 6U})
    {
        check_holds(strikes, seed, many_claims);
        check_holds(strikes, seed, few_claims);
        check_holds(replacements, seed, many_claims);
        check_holds(replacements, seed, few_claims);
    }
}

TEST(submission_world, copies_run_twice_without_a_shared_memory)
{
    check_fails(strikes, submission_variant::no_memory);
    check_fails(strikes, submission_variant::local_memory);
}

TEST(submission_world, copies_run_twice_where_a_silent_keeper_is_taken_for_dead)
{
    check_fails(strikes, submission_variant::two_holders_no_fence);
}

TEST(submission_world, copies_run_twice_where_a_restarted_holder_does_not_abstain)
{
    check_fails(strikes, submission_variant::claims_no_abstention);
}

TEST(submission_world, copies_run_twice_where_a_new_roster_is_not_joint)
{
    check_fails(replacements, submission_variant::claims_no_joint);
}

TEST(submission_world, copies_run_twice_where_an_unheard_instance_goes_on)
{
    check_fails(strikes, submission_variant::claims_no_view_lease);
}

TEST(submission_world, copies_run_twice_where_votes_in_advance_are_not_kept)
{
    check_fails(strikes, submission_variant::claims_no_kept_votes, few_claims);
}
