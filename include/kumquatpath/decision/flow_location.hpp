#ifndef KUMQUATPATH_DECISION_FLOW_LOCATION_HPP
#define KUMQUATPATH_DECISION_FLOW_LOCATION_HPP

/// \file
/// Where a flow rests, for a decision that needs its target before anything may be sent.
///
/// A submission that may not be repeated is claimed before it is sent, by an instance
/// that need not be the keeper of the flow's slot. These functions name the target
/// without sending a packet. What cannot be named with certainty is not guessed: the
/// keeper is asked, and a later copy of the packet finds the answer.

#include <kumquatpath/decision/flow_router.hpp>

namespace kumquatpath
{

/// Returns the target on which the new flow in \p header is to be opened, and tells the
/// keeper of a moved slot that it rests there. Empty when the instance is uncertain, or
/// the service has no target.
std::optional<target_id> locate_new_flow(flow_router& router, const packet_header& header,
                                         time_point now, action_list& actions);

/// Returns the target on which the open flow in \p header rests. Empty when this instance
/// cannot tell; the slot's keeper is then asked for a hint.
std::optional<target_id> locate_flow(flow_router& router, const packet_header& header,
                                     time_point now, action_list& actions);

/// Answers a peer that asks where a flow rests, with a hint if this instance can tell.
void handle_flow_query(flow_router& router, instance_id from, const flow_query& query,
                       time_point now, action_list& actions);

} // namespace kumquatpath

#endif
