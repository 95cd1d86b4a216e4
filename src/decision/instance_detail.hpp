#ifndef KUMQUATPATH_DECISION_INSTANCE_DETAIL_HPP
#define KUMQUATPATH_DECISION_INSTANCE_DETAIL_HPP

/// \file
/// What the parts of the composed instance share.

#include <kumquatpath/decision/instance.hpp>

namespace kumquatpath
{

/// Returns whether a packet of \p kind carries a request that is to be answered.
constexpr bool expects_answer(packet_kind kind) noexcept
{
    return kind == packet_kind::open || kind == packet_kind::data;
}

/// Returns the class \p id of the configuration in force, or null.
const traffic_class* class_of(const instance_state& state, class_id id);

/// Decides whether a request that was placed may be sent, and remembers it if so. Returns
/// none, or why the request is refused.
refusal_reason admit_send(instance_state& state, const packet_header& header,
                          target_id target, time_point now);

/// Returns whether \p header is of a submission that may run only once.
bool is_submission(const instance_state& state, const packet_header& header);

/// Decides a packet of a submission: passes it on, claims it, or refuses it.
void decide_submission(instance_state& state, const packet_header& header,
                       payload_view payload, time_point now, action_list& actions);

/// Returns what the submissions of \p state are decided with.
submission_context context_of(const instance_state& state, const member_view& view,
                              time_point now);

/// Adds the other holders of the roster to the receivers of a heartbeat, if this instance
/// is a holder: each must hear a majority of them.
void append_fellow_holders(const instance_state& state,
                           std::vector<instance_id>& receivers);

/// Takes in what a heartbeat of \p sender says of the roster, and tells a sender that is
/// behind.
void note_roster_version(instance_state& state, instance_id sender,
                         roster_version version, time_point now, action_list& actions);

/// Does what is due for submissions, the roster and its leadership.
void tick_claims(instance_state& state, time_point now, action_list& actions);

} // namespace kumquatpath

#endif
