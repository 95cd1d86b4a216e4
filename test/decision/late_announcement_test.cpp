/// \file
/// Tests of targets at one address whose processes announce themselves late: which of
/// them has ended is told by their starts, whatever the order of their announcements.

#include "ended_target_fixture.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t first_start = 1'766'000'000'000;
constexpr std::uint64_t second_start = first_start + 9'000;

/// Returns the announcement of target \p key, started at \p start, at the address of
/// target 1.
target_change started(std::uint64_t key, std::uint64_t start, std::uint64_t revision)
{
    target_change change = announcement_at_address_of(1, key, revision);
    change.record->service = web;
    change.record->incarnation = start;
    return change;
}

} // namespace

TEST_GROUP_BASE(late_announcement, ended_target_fixture){
    void apply(const target_change& change){apply_change(directory, change, now);
}

bool takes_flows(std::uint64_t key) const
{
    return takes_new_flows(directory.targets[directory.by_entry.at(key)], now);
}
}
;

// Guards against a live target that all running instances take for ended, because the
// process that had its address before announced itself late.
TEST(late_announcement, of_the_process_before_does_not_end_the_one_that_has_the_address)
{
    apply(started(1, first_start, 20));
    apply(departure(1, 30));
    apply(started(2, second_start, 40));
    verdict_of(opening(1000));
    const flow_token token = token_of({2});
    verdict_of(continuation(1000, token));
    apply(started(1, first_start, 50));
    CHECK_TRUE(takes_flows(2));
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
    apply(departure(1, 60));
    CHECK_TRUE(takes_flows(2));
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(late_announcement, is_judged_by_the_starts_whatever_the_order_of_arrival)
{
    std::vector<target_change> changes{started(1, first_start, 20),
                                       started(2, second_start, 40),
                                       started(1, first_start, 50), departure(1, 60)};
    std::vector<std::size_t> order{0, 1, 2, 3};
    do
    {
        target_directory any = exclusive_directory();
        for (const std::size_t each : order)
        {
            apply_change(any, changes[each], now);
            const auto found = any.by_entry.find(2);
            CHECK_TRUE(found == any.by_entry.end() ||
                       takes_new_flows(any.targets[found->second], now));
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(late_announcement, of_a_drained_process_ends_nobody)
{
    target_change late = started(1, first_start, 50);
    late.record->is_draining = true;
    apply(started(2, second_start, 40));
    apply(late);
    CHECK_TRUE(takes_flows(2));
}

TEST(late_announcement, of_a_process_that_started_later_ends_the_one_before)
{
    const flow_token token = open_flow(1000);
    apply(started(1, first_start, 20));
    apply(started(2, second_start, 15));
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::target_ended);
}

TEST(late_announcement, at_the_same_start_under_another_key_ends_nobody)
{
    apply(started(1, first_start, 20));
    apply(started(2, first_start, 40));
    CHECK_FALSE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
}

TEST(late_announcement, is_judged_by_its_revision_where_a_start_is_not_known)
{
    apply(started(1, first_start, 20));
    apply(started(2, 0, 40));
    CHECK_TRUE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
}

// A target that moves leaves its old address to the others there.
TEST(late_announcement, at_another_address_is_no_claim_to_the_old_one)
{
    apply(started(1, first_start, 20));
    apply(started(2, second_start, 40));
    CHECK_TRUE(is_replaced(1));
    target_change moved = started(2, second_start, 50);
    moved.record->address.port = 9090;
    apply(moved);
    CHECK_FALSE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
}
