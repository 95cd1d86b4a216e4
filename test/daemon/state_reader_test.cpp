/// \file
/// Tests of state_reader against a source that returns scripted results.

#include <state_reader.hpp>

#include <deque>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

/// Returns each of \c outcomes once, then calls \c when_exhausted and fails as cancelled.
/// Records the calls in \c calls.
struct scripted_source final : state_source
{
    struct outcome
    {
        std::optional<state_failure> failure;
        shared_state state;
        bool throws = false;
    };

    std::deque<outcome> outcomes;
    std::vector<std::string> calls;
    std::function<void()> when_exhausted;

    boost::leaf::result<shared_state> next()
    {
        if (outcomes.empty())
        {
            when_exhausted();
            return boost::leaf::new_error(state_failure::cancelled);
        }
        outcome next_outcome = std::move(outcomes.front());
        outcomes.pop_front();
        if (next_outcome.throws)
        {
            throw std::runtime_error("unexpected");
        }
        if (next_outcome.failure)
        {
            return boost::leaf::new_error(*next_outcome.failure);
        }
        return std::move(next_outcome.state);
    }

    boost::leaf::result<shared_state> read_all() override
    {
        calls.emplace_back("all");
        BOOST_LEAF_AUTO(state, next());
        state.update.is_whole = true;
        return state;
    }

    boost::leaf::result<shared_state> wait_for_changes(state_revision position,
                                                       std::chrono::milliseconds) override
    {
        calls.push_back("after " + std::to_string(position.value));
        return next();
    }

    void cancel() override {}

    traffic total_traffic() const noexcept override
    {
        return {};
    }
};

} // namespace

TEST_GROUP(state_reader)
{
    scripted_source source;
    std::vector<packet_worker_message> messages;
    /// The queue to the packet_worker is full for this many messages.
    int refusals = 0;

    bool receive(packet_worker_message message)
    {
        if (refusals > 0)
        {
            --refusals;
            return false;
        }
        messages.push_back(std::move(message));
        return true;
    }

    void run_reader(const read_request& request)
    {
        state_reader reader(source, 1,
                            [this](packet_worker_message message)
                            { return receive(std::move(message)); });
        source.when_exhausted = [&]
        {
            reader.stop();
        };
        reader.update_request(request);
        reader.run();
    }

    static shared_state state_at(std::uint64_t position)
    {
        return {.update = {.position = {position}}};
    }
};

TEST(state_reader, reads_everything_first_and_then_only_changes)
{
    source.outcomes = {{.state = state_at(5)}, {.state = state_at(6)}};
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(0).c_str());
    STRCMP_EQUAL("after 5", source.calls.at(1).c_str());
    STRCMP_EQUAL("after 6", source.calls.at(2).c_str());
    CHECK_TRUE(std::get<source_update>(messages.at(0)).state.update.is_whole);
    CHECK_FALSE(std::get<source_update>(messages.at(1)).state.update.is_whole);
}

TEST(state_reader, continues_from_the_position_known_from_peers)
{
    source.outcomes = {{.state = state_at(9)}};
    run_reader({.is_active = true, .position = {8}});
    STRCMP_EQUAL("after 8", source.calls.at(0).c_str());
}

TEST(state_reader, reads_everything_again_after_the_history_is_lost)
{
    source.outcomes = {{.state = state_at(5)},
                       {.failure = state_failure::history_lost},
                       {.state = state_at(50)}};
    run_reader({.is_active = true});
    STRCMP_EQUAL("after 5", source.calls.at(1).c_str());
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    STRCMP_EQUAL("after 50", source.calls.at(3).c_str());
}

TEST(state_reader, retries_after_each_failure_and_reports_it)
{
    source.outcomes = {{.failure = state_failure::unreachable},
                       {.failure = state_failure::refused},
                       {.state = state_at(5)}};
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    CHECK_TRUE(std::get<source_read_failure>(messages.at(0)).failure ==
               state_failure::unreachable);
    CHECK_TRUE(std::get<source_read_failure>(messages.at(1)).failure ==
               state_failure::refused);
}

TEST(state_reader, an_unexpected_error_counts_as_a_failure_and_reading_goes_on)
{
    source.outcomes = {{.throws = true}, {.state = state_at(5)}};
    run_reader({.is_active = true});
    CHECK_TRUE(std::get<source_read_failure>(messages.at(0)).failure ==
               state_failure::malformed);
    STRCMP_EQUAL("all", source.calls.at(1).c_str());
}

// A change that the packet_worker never got was not read again, so a departure in it was
// never learnt.
TEST(state_reader, reads_again_what_the_full_queue_did_not_take)
{
    refusals = 1;
    source.outcomes = {{.state = state_at(9)}, {.state = state_at(9)}};
    run_reader({.is_active = true, .position = {8}});
    STRCMP_EQUAL("after 8", source.calls.at(1).c_str());
    STRCMP_EQUAL("after 9", source.calls.at(2).c_str());
    UNSIGNED_LONGS_EQUAL(1, messages.size() - 1);
}

TEST(state_reader, reads_everything_again_if_the_full_queue_did_not_take_it)
{
    refusals = 1;
    source.outcomes = {{.state = state_at(5)}, {.state = state_at(6)}};
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(1).c_str());
    STRCMP_EQUAL("after 6", source.calls.at(2).c_str());
}

// At the start of a large fleet, every instance read the whole state and asked for
// changes at once, before it could hear that a peer reads for all.
TEST(state_reader, pauses_after_the_first_read_before_it_asks_for_changes)
{
    shared_state whole = state_at(5);
    whole.update.targets.resize(1);
    source.outcomes = {{.state = whole}};
    const auto started = std::chrono::steady_clock::now();
    run_reader({.is_active = true, .pause = 80ms});
    UNSIGNED_LONGS_EQUAL(2, source.calls.size());
    CHECK_TRUE(std::chrono::steady_clock::now() - started >= 80ms);
}

TEST(state_reader, does_not_read_while_reading_is_not_requested)
{
    state_reader reader(source, 1, [](const packet_worker_message&) { return true; });
    std::jthread reader_thread([&] { reader.run(); });
    std::this_thread::sleep_for(50ms);
    reader.stop();
    reader_thread.join();
    UNSIGNED_LONGS_EQUAL(0, source.calls.size());
}

// Guards against a reader that repeats a call without a pause because the answer is the
// same each time.
TEST(state_reader, waits_before_it_reads_everything_again_if_that_failed)
{
    source.outcomes = {{.failure = state_failure::history_lost},
                       {.failure = state_failure::history_lost},
                       {.state = state_at(5)}};
    const auto started = std::chrono::steady_clock::now();
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - started >= 100ms);
}

TEST(state_reader, goes_on_at_a_lower_revision_of_a_later_era)
{
    shared_state later = state_at(7);
    later.update.position.era = {1};
    source.outcomes = {{.state = state_at(50)},
                       {.failure = state_failure::history_lost},
                       {.state = later}};
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    STRCMP_EQUAL("after 7", source.calls.at(3).c_str());
}

// Guards against a reader that asks for the same changes again and again although the
// response is too long each time, while nobody learns of any change.
TEST(state_reader, reads_everything_at_once_if_the_changes_are_too_long_for_a_response)
{
    source.outcomes = {{.state = state_at(5)},
                       {.failure = state_failure::too_long},
                       {.state = state_at(50)}};
    const auto started = std::chrono::steady_clock::now();
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(2).c_str());
    STRCMP_EQUAL("after 50", source.calls.at(3).c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - started < 50ms);
}

TEST(state_reader, reads_everything_after_changes_that_it_could_not_receive_or_read)
{
    for (const state_failure failure :
         {state_failure::incomplete, state_failure::malformed})
    {
        source.calls.clear();
        source.outcomes = {
            {.state = state_at(5)}, {.failure = failure}, {.state = state_at(50)}};
        run_reader({.is_active = true});
        STRCMP_EQUAL("all", source.calls.at(2).c_str());
    }
}

TEST(state_reader, asks_for_the_same_changes_again_if_the_source_did_not_respond)
{
    for (const state_failure failure :
         {state_failure::unreachable, state_failure::refused, state_failure::outdated})
    {
        source.calls.clear();
        source.outcomes = {
            {.state = state_at(5)}, {.failure = failure}, {.state = state_at(6)}};
        run_reader({.is_active = true});
        STRCMP_EQUAL("after 5", source.calls.at(2).c_str());
    }
}

TEST(state_reader, waits_after_a_read_of_everything_that_was_too_long)
{
    source.outcomes = {{.failure = state_failure::too_long}, {.state = state_at(5)}};
    const auto started = std::chrono::steady_clock::now();
    run_reader({.is_active = true});
    STRCMP_EQUAL("all", source.calls.at(1).c_str());
    CHECK_TRUE(std::chrono::steady_clock::now() - started >= 50ms);
}
