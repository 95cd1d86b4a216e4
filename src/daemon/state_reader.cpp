#include "state_reader.hpp"

#include <kumquatpath/edge/clock.hpp>
#include <kumquatpath/model/ids.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

/// The longest that one call waits for a change. The call returns without changes then,
/// which shows that the source is still reachable.
constexpr std::chrono::milliseconds max_wait{1000};
constexpr std::chrono::milliseconds min_backoff{100};
constexpr std::chrono::milliseconds max_backoff{900};
constexpr std::uint32_t max_backoff_doublings = 4;

/// Returns whether a read of the whole state is the next step after \p failure of a read
/// of changes: the same read would get the same response again.
bool needs_listing(state_failure failure)
{
    switch (failure)
    {
    case state_failure::history_lost:
    case state_failure::too_long:
    case state_failure::incomplete:
    case state_failure::malformed:
        return true;
    case state_failure::unreachable:
    case state_failure::refused:
    case state_failure::outdated:
    case state_failure::cancelled:
        break;
    }
    return false;
}

/// Returns whether that read is due at once: the source responds and has told why.
bool is_listing_due(state_failure failure)
{
    return failure == state_failure::history_lost || failure == state_failure::too_long;
}

} // namespace

state_reader::state_reader(state_source& source, std::uint32_t jitter_seed,
                           std::function<bool(packet_worker_message)> send_message)
    : source_(source), send_message_(std::move(send_message)), jitter_(jitter_seed)
{
}

void state_reader::update_request(const read_request& request)
{
    {
        const std::scoped_lock lock(mutex_);
        if (request_ == request)
        {
            return;
        }
        request_ = request;
    }
    wake_up_.notify_all();
}

void state_reader::run()
{
    while (wait_until_active())
    {
        read_once();
    }
}

void state_reader::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        is_stopped_ = true;
    }
    source_.cancel();
    wake_up_.notify_all();
}

bool state_reader::wait_until_active()
{
    std::unique_lock lock(mutex_);
    wake_up_.wait(lock, [&] { return is_stopped_ || request_.is_active; });
    pause_after_change_ = request_.pause;
    if (request_.position > position_)
    {
        position_ = request_.position;
        needs_full_read_ = false;
    }
    return !is_stopped_;
}

void state_reader::read_once()
{
    const time_point started = monotonic_now();
    const bool is_whole = needs_full_read_;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(state, is_whole
                                       ? source_.read_all()
                                       : source_.wait_for_changes(position_, max_wait));
            handle_state(std::move(state), is_whole ? started : monotonic_now());
            return {};
        },
        [&](state_failure failure) { handle_failure(failure); },
        [&] { handle_failure(state_failure::malformed); });
}

void state_reader::handle_state(shared_state state, time_point as_of)
{
    consecutive_failures_ = 0;
    const state_revision new_position = std::max(position_, state.update.position);
    const bool has_changes = !state.update.targets.empty() ||
                             !state.update.evacuations.empty() || state.configuration;
    if (!send_message_(source_update{.state = std::move(state), .as_of = as_of}))
    {
        pause(max_backoff);
        return;
    }
    needs_full_read_ = false;
    position_ = new_position;
    // After the first read, the pause gives peers time to report that they read: then
    // this instance need not read any more.
    if (has_changes)
    {
        pause(pause_after_change_);
    }
}

void state_reader::handle_failure(state_failure failure)
{
    send_message_(source_read_failure{failure});
    const bool was_whole = needs_full_read_;
    needs_full_read_ = was_whole || needs_listing(failure);
    if (!was_whole && is_listing_due(failure))
    {
        return;
    }
    const auto doublings = std::min(consecutive_failures_, max_backoff_doublings);
    ++consecutive_failures_;
    const auto backoff = std::min(max_backoff, min_backoff * (1U << doublings));
    jitter_ = static_cast<std::uint32_t>(hash_pair(jitter_, consecutive_failures_));
    pause(backoff / 2 + std::chrono::milliseconds(
                            jitter_ % static_cast<std::uint32_t>(backoff.count() / 2)));
}

void state_reader::pause(std::chrono::milliseconds time)
{
    std::unique_lock lock(mutex_);
    wake_up_.wait_for(lock, time, [&] { return is_stopped_; });
}

} // namespace kumquatpath
