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
struct source_update
{
    shared_state state;
    /// All of the state, not only what has changed.
    bool is_whole = false;
    /// The state was so at this time.
    time_point as_of;
};

/// A reading of the shared state has failed.
struct source_read_failure
{
    state_failure failure = state_failure::unreachable;
};

/// A peer's answer to a state_request.
struct peer_reply
{
    instance_id sender;
    state_reply reply;
    /// What was read from the reply's configuration, if it has one.
    std::shared_ptr<const routing_table> table;
};

/// Asking a peer for its state has ended, with or without an answer.
struct peer_query_completion
{
};

/// A peer asks for state; \c answer sends it on the transfer duty's thread.
struct peer_state_request
{
    state_request request;
    std::function<void(state_reply)> respond;
};

/// What can be asked for over HTTP.
enum class page_kind : std::uint8_t
{
    metrics,
    status,
};

/// Somebody asks for a page; \c answer sends it on the HTTP duty's thread.
struct page_request
{
    page_kind page = page_kind::metrics;
    std::function<void(std::string)> respond;
};

/// A signal asks for a graceful stop.
struct stop_request
{
};

/// The settings were read anew.
struct settings_update
{
    std::vector<endpoint> seeds;
};

/// Anything that the packet duty is told.
using packet_worker_message =
    std::variant<source_update, source_read_failure, peer_reply, peer_query_completion,
                 peer_state_request, page_request, stop_request, settings_update>;

/// Asks the transfer duty to ask a peer for its state.
struct peer_query
{
    endpoint peer;
    instance_id instance;
    state_request request;
};

} // namespace kumquatpath

#endif
