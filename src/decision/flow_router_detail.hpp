#ifndef KUMQUATPATH_DECISION_FLOW_ROUTER_DETAIL_HPP
#define KUMQUATPATH_DECISION_FLOW_ROUTER_DETAIL_HPP

/// \file
/// What the parts of the flow router share.

#include <kumquatpath/decision/flow_router.hpp>

namespace kumquatpath::detail
{

/// What an entry of a listing takes, in encoded bytes.
inline constexpr double entry_bytes = 12;

/// Returns the wall time at \p now.
wall_time wall_at(const flow_router& router, time_point now);

/// Notes that the process runs at \p now; a long gap since the last event was a pause.
void observe(flow_router& router, time_point now);

/// Returns the placement of \p service, or null.
const service_placement* find_placement(const flow_router& router, service_id service);

/// Returns the keeper group of \p key in \p placement.
std::uint16_t group_of_flow(const service_placement& placement, flow_key key);

/// Takes \p amount from \p bucket if it holds as much.
bool take_tokens(send_allowance& bucket, double amount, time_point now);

/// Lists \p entry at this instance and lets its replica be told later.
void queue_replication(flow_router& router, const flow_entry& entry, time_point now);

/// Forgets a flow that was closed, here and at the other keeper.
void forget_closed(flow_router& router, flow_entry& entry);

/// Sends what is due to the other keepers of the flows.
void replicate(flow_router& router, time_point now, action_list& actions);

/// Asks for hand-overs, and goes on with those that others asked for.
void hand_over(flow_router& router, time_point now, action_list& actions);

/// A listed flow on its way to an instance.
struct addressed_entry
{
    instance_id to;
    service_id service;
    flow_listing::entry entry;
};

/// Sends \p entries in as few listings as possible.
void send_listings(std::vector<addressed_entry>& entries, action_list& actions);

} // namespace kumquatpath::detail

#endif
