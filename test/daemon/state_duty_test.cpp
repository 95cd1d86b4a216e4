/// \file
/// The reading of the shared state, against a source that does as it is told.

#include <state_duty.hpp>

#include <deque>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

/// Plays prepared outcomes; then it is cancelled.
struct prepared_source final : state_source
{
    struct outcome
    {
        std::optional<state_failure> failure;
        shared_state state;
    };

    std::deque<outcome> outcomes;
    std::vector<std::string> calls;
    std::function<void()> when_done;

    boost::leaf::result<shared_state> next()
    {
        if (outcomes.empty())
        {
            when_done();
            return boost::leaf::new_error(state_failure::cancelled);
        }
        outcome taken = std::move(outcomes.front());
        outcomes.pop_front();
        if (taken.failure)
        {
            return boost::leaf::new_error(*taken.failure);
        }
        return std::move(taken.state);
    }

    boost::leaf::result<shared_state> read_all() override
    {
        calls.emplace_back("all");
        return next();
    }

    boost::leaf::result<shared_state> wait_for_changes(state_revision position,
                                                       std::chrono::milliseconds) override
    {
        calls.push_back("after " + std::to_string(position.value));
        return next();
    }

    void cancel() override {}
};

} // namespace

TEST_GROUP(state_duty)
{
    prepared_source source;
    std::vector<packet_input> told;

    void run(const reading_order& order)
    {
        state_duty duty(source, 1,
                        [this](packet_input message)
                        { told.push_back(std::move(message)); });
        source.when_done = [&]
        {
            duty.stop();
        };
        duty.order(order);
        duty.run();
    }

    static shared_state at(std::uint64_t position)
    {
        return {.position = {position}};
    }
};

TEST(state_duty, reads_all_first_and_then_what_changes)
{
    source.outcomes = {{.state = at(5)}, {.state = at(6)}};
    run({.is_wanted = true});
    STRCMP_EQUAL("all", source.calls.at(0).c_str());
    STRCMP_EQUAL("after 5", source.calls.at(1).c_str());
    STRCMP_EQUAL("after 6", source.calls.at(2).c_str());
    CHECK_TRUE(std::get<state_was_read>(told.at(0)).is_whole);
    CHECK_FALSE(std::get<state_was_read>(told.at(1)).is_whole);
}

TEST(state_duty, goes_on_from_what_peers_have_told)
{
    source.outcomes = {{.state = at(9)}};
    run({.is_wanted = true, .position = {8}});
    STRCMP_EQUAL("after 8", source.calls.at(0).c_str());
}

TEST(state_duty, reads_all_again_when_the_history_is_lost)
{
    source.outcomes = {
        {.state = at(5)}, {.failure = state_failure::history_lost}, {.state = at(50)}};
    run({.is_wanted = true});
    STRCMP_EQUAL("after 5", source.calls.at(1).c_str());
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    STRCMP_EQUAL("after 50", source.calls.at(3).c_str());
}

TEST(state_duty, tries_again_after_each_failure_and_tells_it)
{
    source.outcomes = {{.failure = state_failure::unreachable},
                       {.failure = state_failure::refused},
                       {.state = at(5)}};
    run({.is_wanted = true});
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    CHECK_TRUE(std::get<reading_failed>(told.at(0)).failure ==
               state_failure::unreachable);
    CHECK_TRUE(std::get<reading_failed>(told.at(1)).failure == state_failure::refused);
}

TEST(state_duty, does_not_read_while_nobody_wants_it)
{
    state_duty duty(source, 1, [](const packet_input&) {});
    std::jthread reader([&] { duty.run(); });
    std::this_thread::sleep_for(50ms);
    duty.stop();
    reader.join();
    UNSIGNED_LONGS_EQUAL(0, source.calls.size());
}
