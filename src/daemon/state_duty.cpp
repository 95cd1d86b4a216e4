#include "state_duty.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/model/ids.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

/// The longest that a reading waits for a change; an answer shows that the source lives.
constexpr std::chrono::milliseconds longest_wait{1000};
constexpr std::chrono::milliseconds least_backoff{100};
constexpr std::chrono::milliseconds most_backoff{900};
constexpr std::uint32_t most_doublings = 4;

} // namespace

state_duty::state_duty(state_source& source, std::uint32_t jitter_seed,
                       std::function<void(packet_input)> output)
    : source_(source), output_(std::move(output)), jitter_(jitter_seed)
{
}

void state_duty::order(const reading_order& wanted)
{
    {
        const std::scoped_lock lock(mutex_);
        if (order_ == wanted)
        {
            return;
        }
        order_ = wanted;
    }
    changed_.notify_all();
}

void state_duty::run()
{
    while (wait_until_wanted())
    {
        read_once();
    }
}

void state_duty::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        is_stopped_ = true;
    }
    source_.cancel();
    changed_.notify_all();
}

bool state_duty::wait_until_wanted()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return is_stopped_ || order_.is_wanted; });
    pause_after_change_ = order_.pause;
    if (order_.position > position_)
    {
        position_ = order_.position;
        must_read_all_ = false;
    }
    return !is_stopped_;
}

void state_duty::read_once()
{
    const time_point asked = monotonic_now();
    const bool is_whole = must_read_all_;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(state,
                            is_whole ? source_.read_all()
                                     : source_.wait_for_changes(position_, longest_wait));
            take(std::move(state), is_whole, is_whole ? asked : monotonic_now());
            return {};
        },
        [&](state_failure failure) { fail(failure); },
        [&] { fail(state_failure::malformed); });
}

void state_duty::take(shared_state state, bool is_whole, time_point as_of)
{
    failures_ = 0;
    must_read_all_ = false;
    position_ = std::max(position_, state.position);
    const bool has_changes = !state.targets.empty() || state.configuration;
    output_(
        state_was_read{.state = std::move(state), .is_whole = is_whole, .as_of = as_of});
    if (has_changes && !is_whole)
    {
        pause(pause_after_change_);
    }
}

void state_duty::fail(state_failure failure)
{
    output_(reading_failed{failure});
    if (failure == state_failure::history_lost)
    {
        must_read_all_ = true;
        return;
    }
    const auto doublings = std::min(failures_, most_doublings);
    ++failures_;
    const auto longest = std::min(most_backoff, least_backoff * (1U << doublings));
    jitter_ = static_cast<std::uint32_t>(mix(jitter_, failures_));
    pause(longest / 2 + std::chrono::milliseconds(
                            jitter_ % static_cast<std::uint32_t>(longest.count() / 2)));
}

void state_duty::pause(std::chrono::milliseconds time)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, time, [&] { return is_stopped_; });
}

} // namespace kumquatpath
