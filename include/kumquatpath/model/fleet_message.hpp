#ifndef KUMQUATPATH_MODEL_FLEET_MESSAGE_HPP
#define KUMQUATPATH_MODEL_FLEET_MESSAGE_HPP

/// \file
/// The messages between entry instances, as plain data.

#include <kumquatpath/model/state_update.hpp>

#include <string>
#include <variant>
#include <vector>

namespace kumquatpath
{

/// The age of a shared state that was never read: the maximum of the 32-bit wire field.
inline constexpr std::chrono::milliseconds never_read{0xffffffff};

/// An instance that the sender receives heartbeats from.
struct fleet_member
{
    instance_id instance;
    endpoint address;
    data_centre_id data_centre;
};

/// What an instance may report about a target.
enum class evidence_kind : std::uint8_t
{
    /// Openings that the target left unanswered since the newest answered one.
    unanswered,
    /// Answers that came too quickly to be real.
    quick_answers,
    /// The speed of the target in proportion to its service.
    speed,
};

/// The number of enumerators of evidence_kind.
inline constexpr std::size_t evidence_kind_count = 3;

/// What the sender has itself seen of a target.
struct target_evidence
{
    /// The token of the target, which is the same on every instance.
    flow_token target;
    /// Of the incarnation of the target that the evidence is about; see
    /// incarnation_check().
    std::uint16_t incarnation = 0;
    /// Its value is not checked when a message is decoded.
    evidence_kind kind = evidence_kind::unanswered;
    /// For evidence_kind::speed, the natural logarithm of the slowness in steps of 0.02;
    /// otherwise the number of openings or answers.
    std::int8_t level = 0;
    /// Time since the newest event that the evidence rests on, in steps of 100 ms, or of
    /// 400 ms for evidence_kind::speed.
    std::chrono::milliseconds age{0};
};

/// A periodic message that shows that the sender is alive and reports which shared state
/// it has and which peers it knows.
struct fleet_heartbeat
{
    /// A number that differs from one start of the sender to the next.
    std::uint64_t incarnation = 0;
    /// The address at which the sender receives messages from peers.
    endpoint address;
    data_centre_id data_centre;
    bool is_leaving = false;
    /// The sender has the changes of the shared state up to and including this revision.
    state_revision position;
    /// The configuration that the sender has.
    configuration_version configuration;
    /// Time since the shared state was last known to be at this position.
    std::chrono::milliseconds age = never_read;
    /// The instance that read the shared state at that time.
    instance_id read_by;
    std::vector<fleet_member> members;
    /// Only in heartbeats to peers of the sender's data centre.
    std::vector<target_evidence> evidence;
};

/// Asks a peer for the part of the shared state that is newer than these.
struct state_request
{
    state_revision position;
    configuration_version configuration;
    /// The sender can read a compressed configuration.
    bool accepts_compressed_text = false;
};

/// The reply to a state_request.
struct state_reply
{
    state_update update;
    configuration_version configuration;
    /// See shared_configuration::written; 0: not stated by an older release.
    state_revision written;
    /// Empty if the requesting instance already has this configuration.
    std::string configuration_text;
    /// The text is in the format of compress(). Only if the request accepts that.
    bool is_text_compressed = false;
};

/// Tells a peer which target has a flow whose opening may have reached another target
/// through the peer.
struct flow_notice
{
    flow_id flow;
    /// The token of the target that has the flow.
    flow_token target;
};

/// A message between instances.
struct fleet_message
{
    instance_id sender;
    /// Increases with each message of one incarnation of the sender.
    std::uint64_t sequence = 0;
    std::variant<fleet_heartbeat, state_request, state_reply, flow_notice> body;
};

} // namespace kumquatpath

#endif
