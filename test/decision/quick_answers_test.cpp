/// \file
/// Tests of which answers count as quick after an outage, when the first requests take
/// very long.

#include "entry_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(quick_answers)
{
    static constexpr target_index targets = 4;
    time_point now{100s};
    target_directory directory;
    target_selector selector{.local_data_centre = north};

    void setup() override
    {
        for (std::uint64_t key = 1; key <= targets; ++key)
        {
            apply_change(directory, announcement(key, key), now);
        }
    }

    void answer(target_index index, duration time)
    {
        now += 20ms;
        record_request_answered(selector, directory, index, time, 0ms, now);
    }

    void answer_from_all(int answers, duration time)
    {
        for (int i = 0; i < answers; ++i)
        {
            for (target_index index = 0; index < targets; ++index)
            {
                answer(index, time);
            }
            review();
        }
    }

    void review()
    {
        now += 60ms;
        select_target(selector, directory, {.service = web}, now);
    }

    bool is_avoided_after_short_answers(duration time)
    {
        for (int i = 0; i < 5; ++i)
        {
            answer(0, time);
        }
        review();
        return selector.stats[0].is_failing;
    }
};

TEST(quick_answers, short_requests_after_an_outage_do_not_make_a_target_failing)
{
    answer_from_all(2, 1200ms);
    answer_from_all(8, 100ms);
    CHECK_FALSE(is_avoided_after_short_answers(25ms));
}

TEST(quick_answers, a_target_that_fails_after_an_outage_is_found)
{
    answer_from_all(2, 1200ms);
    answer_from_all(8, 60ms);
    CHECK_TRUE(is_avoided_after_short_answers(1ms));
}

TEST(quick_answers, a_target_that_fails_is_found_if_the_usual_request_is_short)
{
    // Long requests make the mean long enough to tell failures from requests.
    answer_from_all(6, 22ms);
    answer_from_all(4, 200ms);
    CHECK_TRUE(is_avoided_after_short_answers(1ms));
}
