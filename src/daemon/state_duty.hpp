#ifndef KUMQUATPATH_DAEMON_STATE_DUTY_HPP
#define KUMQUATPATH_DAEMON_STATE_DUTY_HPP

/// \file
/// The duty that reads the shared state where it is kept.

#include "messages.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace kumquatpath
{

/// What the state duty is asked for.
struct reading_order
{
    bool is_wanted = false;
    /// The changes up to this one are known.
    state_revision position;
    /// The pause after a reading that brought changes.
    std::chrono::milliseconds pause{0};

    friend bool operator==(const reading_order&, const reading_order&) = default;
};

/// Reads while that is wanted. Calls block, so this duty has a thread for itself.
class state_duty
{
public:
    state_duty(state_source& source, std::uint32_t jitter_seed,
               std::function<void(packet_input)> output);

    /// Changes what is wanted; from any thread.
    void order(const reading_order& wanted);

    /// Reads until stop().
    void run();

    /// Ends run(); from any thread.
    void stop();

private:
    bool wait_until_wanted();
    void read_once();
    void take(shared_state state, bool is_whole, time_point as_of);
    void fail(state_failure failure);
    void pause(std::chrono::milliseconds time);

    state_source& source_;
    std::function<void(packet_input)> output_;
    std::mutex mutex_;
    std::condition_variable changed_;
    reading_order order_;
    bool is_stopped_ = false;
    state_revision position_;
    std::chrono::milliseconds pause_after_change_{0};
    bool must_read_all_ = true;
    std::uint32_t failures_ = 0;
    std::uint32_t jitter_;
};

} // namespace kumquatpath

#endif
