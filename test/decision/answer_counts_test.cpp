/// \file
/// Tests of the detection of targets that answer too quickly to have processed requests.

#include <kumquatpath/decision/answer_counts.hpp>

#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(answer_counts)
{
    time_point now{100s};
    answer_counts counts;

    void count(int answers, bool is_quick)
    {
        for (int i = 0; i < answers; ++i)
        {
            count_answer(counts, is_quick, now);
            now += 10ms;
        }
    }
};

TEST(answer_counts, an_answer_far_below_the_mean_time_is_quick)
{
    CHECK_TRUE(is_quick(2ms, 60ms));
    CHECK_FALSE(is_quick(10ms, 60ms));
}

TEST(answer_counts, no_answer_is_quick_if_the_mean_time_is_short)
{
    CHECK_FALSE(is_quick(1ms, 20ms));
}

TEST(answer_counts, a_target_with_many_more_quick_answers_than_the_others_is_failing)
{
    count(7, false);
    count(3, true);
    CHECK_TRUE(is_failing(counts, 0));
    CHECK_FALSE_TEXT(is_failing(counts, 0.3),
                     "the others have as large a share of quick answers");
}

TEST(answer_counts, two_quick_answers_do_not_make_a_target_failing)
{
    count(2, true);
    CHECK_FALSE(is_failing(counts, 0));
}

TEST(answer_counts, a_failing_target_recovers_once_its_quick_answers_have_decayed)
{
    count(5, true);
    CHECK_TRUE(is_failing(decayed(counts, now), 0));
    now += 30s;
    CHECK_FALSE(is_failing(decayed(counts, now), 0));
}

TEST_GROUP(answer_counts_by_chance)
{
    /// Answers of one target at one instance, one a second.
    static constexpr int answers = 60;
    static constexpr int targets = 1000;
    static constexpr double usual_share = 0.05;
    std::mt19937 random{7};

    static void count(answer_counts & counts, bool is_quick, time_point& now)
    {
        now += 1s;
        count_answer(counts, is_quick, now);
    }

    /// Returns the number of answers, of which \p share are quick, until a target that
    /// was sound so far counts as failing; more than \c answers if none does.
    int answers_until_failing(double share)
    {
        std::bernoulli_distribution is_quick(share);
        answer_counts counts;
        time_point now{100s};
        for (int i = 0; i < 10; ++i)
        {
            count(counts, false, now);
        }
        int given = 0;
        while (given <= answers && !is_failing(counts, usual_share))
        {
            count(counts, is_quick(random), now);
            ++given;
        }
        return given;
    }

    /// Returns how many targets count as failing within \p limit answers.
    int failing_targets(double share, int limit)
    {
        int failing = 0;
        for (int i = 0; i < targets; ++i)
        {
            failing += answers_until_failing(share) <= limit ? 1 : 0;
        }
        return failing;
    }
};

// One in twenty requests needed almost no work. In a fleet, some instance always found
// some sound target failing.
TEST(answer_counts_by_chance, sound_targets_with_a_few_quick_answers_do_not_fail)
{
    CHECK_TRUE(failing_targets(usual_share, answers) <= targets / 100);
}

TEST(answer_counts_by_chance, a_target_that_fails_all_requests_is_found_by_three_answers)
{
    LONGS_EQUAL(targets, failing_targets(1, 3));
}

TEST(answer_counts_by_chance, a_target_that_fails_half_of_its_requests_is_found)
{
    CHECK_TRUE(failing_targets(0.5, 20) >= targets * 9 / 10);
}
