#ifndef KUMQUATPATH_MODEL_FLEET_MESSAGE_HPP
#define KUMQUATPATH_MODEL_FLEET_MESSAGE_HPP

/// \file
/// What entry instances tell each other, as plain data.

#include <kumquatpath/model/target_record.hpp>

#include <string>
#include <variant>
#include <vector>

namespace kumquatpath
{

/// The age of a state that was never read.
inline constexpr std::chrono::milliseconds never_read{0xffffffff};

/// An instance that the sender hears.
struct fleet_member
{
    instance_id instance;
    endpoint address;
    data_centre_id data_centre;
};

/// A sign of life, with what the sender knows and carries.
struct fleet_heartbeat
{
    /// Differs from one start of the sender to the next.
    std::uint64_t incarnation = 0;
    /// Where the sender hears its peers.
    endpoint address;
    data_centre_id data_centre;
    bool is_leaving = false;
    /// The changes of the shared state up to this one are known to the sender.
    state_revision position;
    state_revision configuration;
    /// How long ago the shared state was known to be so.
    std::chrono::milliseconds age = never_read;
    /// The instance that read it then.
    instance_id read_by;
    std::vector<fleet_member> members;
};

/// Asks a peer for what is newer than these.
struct state_request
{
    state_revision position;
    state_revision configuration;
};

/// The answer to a state_request.
struct state_reply
{
    state_revision position;
    std::vector<target_change> targets;
    state_revision configuration;
    /// Empty if the asker has it.
    std::string configuration_text;
};

/// A message between instances.
struct fleet_message
{
    instance_id sender;
    /// Larger on each message of one incarnation of the sender.
    std::uint64_t sequence = 0;
    std::variant<fleet_heartbeat, state_request, state_reply> body;
};

} // namespace kumquatpath

#endif
