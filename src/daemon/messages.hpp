#ifndef KUMQUATPATH_DAEMON_MESSAGES_HPP
#define KUMQUATPATH_DAEMON_MESSAGES_HPP

/// \file
/// What the duties of the daemon tell each other through their inboxes.

#include <kumquatpath/decision/roster_leader.hpp>
#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace kumquatpath
{

/// A stored configuration that passed the check, with its text for peers that ask for it.
struct checked_envelope
{
    std::shared_ptr<const configuration> whole;
    std::shared_ptr<const std::string> text;
};

/// The platform's list of instances, or the members that a peer told a newcomer of.
struct members_listed
{
    std::vector<member_digest> members;
    /// Whether the members were heard of by a peer, and so are believed.
    bool is_from_peer = false;
};

/// The process was asked to end.
struct stop_requested
{
};

/// To the packet duty.
using packet_message = std::variant<checked_envelope, members_listed, stop_requested,
                                    lease_answer, roster_answer>;

/// To the roster duty: one question to the platform about the roster of \c region.
struct roster_order
{
    std::string region;
    store_command command;
};

/// To the transfer duty: fetch what is newer than \c newer_than from \c peer.
struct fetch_configuration
{
    endpoint peer;
    generation newer_than;
};

/// To the transfer duty: what peers are told from now on when they ask.
struct publish_configuration
{
    generation number;
    std::shared_ptr<const std::string> text;
    std::vector<member_digest> members;
};

/// To the transfer duty.
using transfer_message = std::variant<fetch_configuration, publish_configuration>;

/// To the platform duty: whether this instance reads for its data centre, and how long
/// one that does not waits between its own reads.
struct reader_role
{
    bool is_reader = false;
    std::chrono::milliseconds poll_interval{5000};
    generation in_force;
};

/// To the platform duty.
using platform_message = std::variant<reader_role>;

} // namespace kumquatpath

#endif
