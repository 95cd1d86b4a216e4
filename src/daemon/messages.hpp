#ifndef KUMQUATPATH_DAEMON_MESSAGES_HPP
#define KUMQUATPATH_DAEMON_MESSAGES_HPP

/// \file
/// What the duties of an entry instance tell each other.

#include <kumquatpath/edge/state_source.hpp>
#include <kumquatpath/model/fleet_message.hpp>
#include <kumquatpath/model/time.hpp>

#include <functional>
#include <variant>

namespace kumquatpath
{

/// The shared state, or its changes, as this instance has read it.
struct state_was_read
{
    shared_state state;
    /// All of the state, not only what has changed.
    bool is_whole = false;
    /// The state was so at this time.
    time_point as_of;
};

/// A reading of the shared state has failed.
struct reading_failed
{
    state_failure failure = state_failure::unreachable;
};

/// A peer's answer to a state_request.
struct state_was_told
{
    instance_id by;
    state_reply reply;
    /// What was read from the reply's configuration, if it has one.
    std::shared_ptr<const routing_table> table;
};

/// Asking a peer for its state has ended, with or without an answer.
struct asking_ended
{
};

/// A peer asks for state; \c answer sends it on the transfer duty's thread.
struct state_was_asked
{
    state_request request;
    std::function<void(state_reply)> answer;
};

/// What can be asked for over HTTP.
enum class page_kind : std::uint8_t
{
    metrics,
    status,
};

/// Somebody asks for a page; \c answer sends it on the HTTP duty's thread.
struct page_was_asked
{
    page_kind page = page_kind::metrics;
    std::function<void(std::string)> answer;
};

/// A signal asks for a graceful stop.
struct stop_was_asked
{
};

/// The settings were read anew.
struct settings_were_read
{
    std::vector<endpoint> seeds;
};

/// Anything that the packet duty is told.
using packet_input =
    std::variant<state_was_read, reading_failed, state_was_told, asking_ended,
                 state_was_asked, page_was_asked, stop_was_asked, settings_were_read>;

/// Asks the transfer duty to ask a peer for its state.
struct ask_peer
{
    endpoint peer;
    instance_id instance;
    state_request request;
};

} // namespace kumquatpath

#endif
