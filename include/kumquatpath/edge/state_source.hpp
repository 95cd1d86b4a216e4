#ifndef KUMQUATPATH_EDGE_STATE_SOURCE_HPP
#define KUMQUATPATH_EDGE_STATE_SOURCE_HPP

/// \file
/// Where the configuration and the announcements of targets are kept, as an interface
/// that tests replace.

#include <kumquatpath/model/routing_table.hpp>

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kumquatpath
{

/// A part of the shared state: all of it, or what has changed.
struct shared_state
{
    /// The state holds every change up to this one.
    state_revision position;
    std::vector<target_change> targets;
    std::optional<shared_configuration> configuration;
};

/// Why the shared state could not be read.
enum class state_failure : std::uint8_t
{
    /// No connection, or no answer in time.
    unreachable,
    /// The service said that it is busy or that too much is asked of it.
    refused,
    /// The changes since the position are no longer kept: read all of it.
    history_lost,
    /// The answer can't be read.
    malformed,
    /// cancel() was called.
    cancelled,
};

/// Reads the shared state. Every call blocks for a bounded time and may fail with
/// state_failure. All but cancel() belongs to one thread.
class state_source
{
public:
    state_source() = default;
    virtual ~state_source() = default;
    state_source(const state_source&) = delete;
    state_source& operator=(const state_source&) = delete;
    state_source(state_source&&) = delete;
    state_source& operator=(state_source&&) = delete;

    /// Returns the whole state.
    virtual boost::leaf::result<shared_state> read_all() = 0;

    /// Waits until something has changed after \p position and returns the changes;
    /// returns none when \p wait has passed.
    virtual boost::leaf::result<shared_state>
    wait_for_changes(state_revision position, std::chrono::milliseconds wait) = 0;

    /// Ends the call that is under way and fails all later ones; from any thread.
    virtual void cancel() = 0;
};

/// Reads the text of a configuration, or returns null and logs why not.
using configuration_parser =
    std::shared_ptr<const routing_table> (*)(const std::string& text);

} // namespace kumquatpath

#endif
