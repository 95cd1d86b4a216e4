#ifndef KUMQUATPATH_DAEMON_STATE_READER_HPP
#define KUMQUATPATH_DAEMON_STATE_READER_HPP

/// \file
/// The duty that reads the shared state where it is kept.

#include "messages.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace kumquatpath
{

/// What the state duty is asked for.
struct read_request
{
    bool is_active = false;
    /// The changes up to this one are known.
    state_revision position;
    /// The pause after a reading that brought changes.
    std::chrono::milliseconds pause{0};

    friend bool operator==(const read_request&, const read_request&) = default;
};

/// Reads while that is wanted. Calls block, so this duty has a thread for itself.
class state_reader
{
public:
    state_reader(state_source& source, std::uint32_t jitter_seed,
                 std::function<void(packet_worker_message)> send_message);

    /// Changes what is wanted; from any thread.
    void update_request(const read_request& request);

    /// Reads until stop().
    void run();

    /// Ends run(); from any thread.
    void stop();

private:
    bool wait_until_active();
    void read_once();
    void handle_state(shared_state state, bool is_whole, time_point as_of);
    void handle_failure(state_failure failure);
    void pause(std::chrono::milliseconds time);

    state_source& source_;
    std::function<void(packet_worker_message)> send_message_;
    std::mutex mutex_;
    std::condition_variable wake_up_;
    read_request request_;
    bool is_stopped_ = false;
    state_revision position_;
    std::chrono::milliseconds pause_after_change_{0};
    bool needs_full_read_ = true;
    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t jitter_;
};

} // namespace kumquatpath

#endif
