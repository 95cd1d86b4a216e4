/// \file
/// Tests of the detection of targets that answer too quickly to have processed requests.

#include <kumquatpath/decision/answer_counts.hpp>

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
