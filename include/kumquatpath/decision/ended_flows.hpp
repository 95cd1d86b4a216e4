#ifndef KUMQUATPATH_DECISION_ENDED_FLOWS_HPP
#define KUMQUATPATH_DECISION_ENDED_FLOWS_HPP

/// \file
/// Detects open flows whose target has ended.
///
/// Their callers wait in vain, because nothing answers them. A false alarm would break an
/// open flow, so silence alone is never enough: either another target was announced later
/// at the same address, or the target is no longer announced, although it was not
/// drained, and has left a packet of this flow unanswered. The second pair of signs is
/// also that of a target which has lost the store and works on a long request, so it
/// counts for repeatable requests only. Nothing is detected unless addresses are
/// exclusive.

#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// A packet that repeats a payload after this long is a retransmission by the caller, not
/// a copy that the network made.
inline constexpr duration min_retransmission_age = std::chrono::milliseconds(150);

/// Returns whether the flow of \p packet is to be reset because the target at \p target
/// has ended. \p flow is the flow as its earlier packets left it; null: this instance
/// does not track it. The last packet of a flow needs no answer, so it causes no reset.
bool must_reset(const target_directory& directory, const routing_table& table,
                const flow_packet& packet, target_index target, const tracked_flow* flow,
                time_point now);

/// Records the position of the payload of \p packet in \p flow.
void record_payload(tracked_flow& flow, const flow_packet& packet, time_point now);

} // namespace kumquatpath

#endif
