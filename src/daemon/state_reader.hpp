#ifndef KUMQUATPATH_DAEMON_STATE_READER_HPP
#define KUMQUATPATH_DAEMON_STATE_READER_HPP

/// \file
/// The thread that reads the shared state from its source.

#include "messages.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace kumquatpath
{

/// Controls whether and from where the state_reader reads.
struct read_request
{
    /// The state_reader reads only while this is set.
    bool is_active = false;
    /// The instance has every change up to this one, for example from a peer.
    state_revision position;
    /// The pause after a read that returned the whole state or changes.
    std::chrono::milliseconds pause{0};

    friend bool operator==(const read_request&, const read_request&) = default;
};

/// Reads the shared state while the current read_request is active. Calls to the source
/// block, so run() needs a thread of its own.
///
/// The first read fetches the whole state, unless the read_request has a position. Later
/// reads wait for changes. If one fails in a way in which the same read would fail again,
/// the whole state is read next: at once if the history is lost or the response would be
/// too long. After any other failure, and after one of the whole state, the next read
/// waits for a backoff with jitter.
/// Each result is sent as a source_update or a source_read_failure. A source_update that
/// can't be queued is read again.
class state_reader
{
public:
    /// \p source must outlive this object. \p send_message passes messages to the
    /// packet_worker and returns whether the message was queued.
    state_reader(state_source& source, std::uint32_t jitter_seed,
                 std::function<bool(packet_worker_message)> send_message);

    /// Replaces the current read_request. May be called from any thread.
    void update_request(const read_request& request);

    /// Reads until stop() is called.
    void run();

    /// Makes run() return and cancels a read in progress. May be called from any thread.
    void stop();

private:
    bool wait_until_active();
    void read_once();
    void handle_state(shared_state state, time_point as_of);
    void handle_failure(state_failure failure);
    void pause(std::chrono::milliseconds time);

    state_source& source_;
    std::function<bool(packet_worker_message)> send_message_;
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
