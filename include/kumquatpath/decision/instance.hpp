#ifndef KUMQUATPATH_DECISION_INSTANCE_HPP
#define KUMQUATPATH_DECISION_INSTANCE_HPP

/// \file
/// One entry instance: the decisions of all duties, composed.
///
/// Each function takes an event and the present time and appends the actions that answer
/// it. The daemon carries the actions out over sockets; a test or a bench carries them
/// out over whatever stands in for them. An instance_state belongs to one thread.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/admission.hpp>
#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/decision/inflight_table.hpp>
#include <kumquatpath/decision/membership.hpp>
#include <kumquatpath/decision/roster_leader.hpp>
#include <kumquatpath/decision/submission.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace kumquatpath
{

/// What an instance is told when it starts.
struct instance_options
{
    member_digest self;
    membership_options membership;
    /// Its \c self is filled in from the one above.
    flow_router_options router;
    roster_options roster;
    roster_leader_options leader;
    submission_options submissions;
    /// The most requests that are remembered until they are answered; one more is
    /// refused.
    std::size_t most_inflight = 65536;
};

/// A request that came to its end at this instance, for the metrics.
struct finished_request
{
    inflight_request request;
    request_outcome outcome = request_outcome::answered;
    bool has_timed_out = false;
    duration latency{};
};

/// Everything that one instance remembers.
struct instance_state
{
    instance_options options;
    kumquatpath::membership members;
    std::shared_ptr<const configuration> in_force;
    flow_router router;
    kumquatpath::admission admission;
    /// The version of the membership whose view the other duties have.
    std::uint64_t view_version = 0;
    inflight_table inflight;
    roster_view roster;
    roster_leader leader;
    submission_state submissions;
    /// What the platform is to be asked since the caller last cleared the list.
    store_command_list store_commands;
    /// What ended since the caller last cleared the list.
    std::vector<finished_request> finished;
    /// Whether this instance is being stopped, and since when.
    bool is_leaving = false;
    time_point leaving_since{};
    /// Since when peers are told, which has to wait for votes held in advance.
    std::optional<time_point> leaving_told;
    /// The newest generation that any peer told of, and who told it.
    generation newest_heard;
    instance_id newest_holder;
};

/// Returns the state of an instance that starts at \p now.
instance_state make_instance(const instance_options& options, time_point now);

/// Returns whether this instance may claim submissions now; see roster.hpp.
bool may_claim(const instance_state& state, time_point now);

/// Takes the platform's answer about the lease of the roster's leader.
void receive_store_answer(instance_state& state, const lease_answer& answer);

/// Takes the platform's answer about the roster.
void receive_store_answer(instance_state& state, const roster_answer& answer,
                          time_point now);

/// Returns the region of this instance, which names its roster; empty while no
/// configuration tells it.
std::string_view region_of(const instance_state& state);

/// Puts \p next in force, unless it is not newer than what is in force. Returns whether
/// it did.
bool adopt_configuration(instance_state& state, std::shared_ptr<const configuration> next,
                         wall_time wall, time_point now);

/// Returns the peer that holds a newer configuration than this instance, if one is known.
std::optional<instance_id> newer_configuration_at(const instance_state& state);

/// Decides a packet that a caller sent to a listener of \p header.service.
void decide_caller_packet(instance_state& state, const packet_header& header,
                          payload_view payload, time_point now, action_list& actions);

/// Decides a packet that \p sender sent.
void decide_target_packet(instance_state& state, target_id sender,
                          const packet_header& header, payload_view payload,
                          time_point now, action_list& actions);

/// Decides a caller's packet that \p sender passed on.
void decide_passed_packet(instance_state& state, instance_id sender,
                          const packet_header& header, payload_view payload,
                          time_point now, action_list& actions);

/// Decides a control message of \p sender.
void decide_peer_message(instance_state& state, instance_id sender,
                         const peer_message& message, time_point now,
                         action_list& actions);

/// Begins a graceful stop: new flows are passed on to peers, and peers are told as soon
/// as no holder keeps submissions for this instance alone.
void begin_leaving(instance_state& state, time_point now);

/// Returns whether a graceful stop may end: nothing is unanswered, and peers had the time
/// to hear of it.
bool has_left(const instance_state& state, time_point now);

/// Does what is due at \p now; to be called every few tens of milliseconds.
void tick(instance_state& state, wall_time wall, time_point now, action_list& actions);

} // namespace kumquatpath

#endif
