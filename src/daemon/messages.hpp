#ifndef KUMQUATPATH_DAEMON_MESSAGES_HPP
#define KUMQUATPATH_DAEMON_MESSAGES_HPP

/// \file
/// Messages between the worker threads of an entry instance.

#include <kumquatpath/edge/state_source.hpp>
#include <kumquatpath/model/fleet_message.hpp>
#include <kumquatpath/model/time.hpp>

#include <functional>
#include <variant>

namespace kumquatpath
{

/// The result of a successful read from the state source.
struct source_update
{
    shared_state state;
    /// The time at which the source is known to have held this state.
    time_point as_of;
};

/// Reports that a read from the state source failed.
struct source_read_failure
{
    state_failure failure = state_failure::unreachable;
};

/// A peer's reply to a state_request of this instance.
struct peer_reply
{
    instance_id sender;
    state_reply reply;
    /// The routing table of the reply's configuration; null if the reply has none or it
    /// is invalid.
    std::shared_ptr<const routing_table> table;
};

/// Reports that a peer_query has ended, with or without a reply.
struct peer_query_completion
{
};

/// A peer's request for the shared state. \c respond may be called from any thread; the
/// reply is sent on the state_transfer's thread.
struct peer_state_request
{
    state_request request;
    std::function<void(state_reply)> respond;
};

/// The pages that the packet_worker renders for the status_server.
enum class page_kind : std::uint8_t
{
    metrics,
    status,
};

/// An HTTP request for a page. \c respond may be called from any thread; the page is sent
/// on the status_server's thread.
struct page_request
{
    page_kind page = page_kind::metrics;
    std::function<void(std::string)> respond;
};

/// A request for a graceful stop, sent on SIGTERM and SIGINT.
struct stop_request
{
};

/// The settings that take effect when the settings file is reloaded.
struct settings_update
{
    std::vector<endpoint> seeds;
};

/// Any message to the packet_worker.
using packet_worker_message =
    std::variant<source_update, source_read_failure, peer_reply, peer_query_completion,
                 peer_state_request, page_request, stop_request, settings_update>;

/// How many messages were dropped because the queue of their sender was full.
struct dropped_message_counts
{
    std::uint64_t state_reader = 0;
    std::uint64_t state_transfer = 0;
    std::uint64_t status_server = 0;
    /// Queries of the packet_worker to the state_transfer.
    std::uint64_t packet_worker = 0;
};

/// Tells the state_transfer to send \c request to a peer.
struct peer_query
{
    endpoint peer;
    instance_id instance;
    state_request request;
};

} // namespace kumquatpath

#endif
