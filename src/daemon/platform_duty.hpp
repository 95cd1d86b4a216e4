#ifndef KUMQUATPATH_DAEMON_PLATFORM_DUTY_HPP
#define KUMQUATPATH_DAEMON_PLATFORM_DUTY_HPP

/// \file
/// The duty that talks to the platform: it waits for configurations and reads the list of
/// instances.
///
/// Two instances of a data centre are its readers and keep a watch on the platform; all
/// others learn from their peers and read seldom, so the calls on the platform do not
/// grow with the fleet. While the platform is away the duty tries again with a growing,
/// jittered pause.

#include "messages.hpp"

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/edge/ring.hpp>

#include <boost/random/taus88.hpp>

#include <atomic>
#include <functional>

namespace kumquatpath
{

/// Reads from the platform on a thread of its own, and may wait in a call.
class platform_duty
{
public:
    /// \p output takes what was read; \p store is used by the thread in run() only.
    platform_duty(key_value_store& store, std::function<void(packet_message)> output,
                  std::uint32_t seed);

    /// Takes a message of the packet duty; may be called from one other thread.
    void handle(const platform_message& message);

    /// Serves until stop().
    void run();

    /// Ends run() within one call's bound; may be called from any thread.
    void stop();

private:
    void read_configuration();
    void read_instances();
    void take(const stored_value& value);
    void pause(std::chrono::milliseconds span);
    void note_success();
    void note_failure();
    std::chrono::milliseconds jittered(std::chrono::milliseconds span);

    key_value_store& store_;
    std::function<void(packet_message)> output_;
    ring<platform_message> inbox_;
    boost::random::taus88 random_;
    std::atomic<bool> is_stopping_{false};
    reader_role role_;
    revision known_;
    std::chrono::milliseconds retry_pause_{0};
    bool is_away_ = false;
    std::chrono::steady_clock::time_point next_list_{};
};

} // namespace kumquatpath

#endif
