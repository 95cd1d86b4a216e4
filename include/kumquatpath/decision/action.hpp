#ifndef KUMQUATPATH_DECISION_ACTION_HPP
#define KUMQUATPATH_DECISION_ACTION_HPP

/// \file
/// What the decisions ask the edge to do.
///
/// A decision takes an event and the present time and appends actions to a list that its
/// caller owns. The caller clears the list between events and keeps its memory, so a
/// packet of a known flow costs no allocation. Payloads are borrowed: they stay valid
/// until the next event is decided.

#include <kumquatpath/model/packet.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>
#include <vector>

namespace kumquatpath
{

/// Bytes that belong to somebody else.
using payload_view = std::span<const std::byte>;

/// Why a packet was dropped; the metrics count each reason.
enum class drop_reason : std::uint8_t
{
    malformed,
    unknown_version,
    unknown_listener,
    unknown_service,
    unexpected_kind,
    too_many_hops,
    no_target,
    no_keeper,
    stale_answer,
    duplicate,
    table_full,
    unauthenticated_peer,
    ring_full,
};

/// The count of drop reasons.
inline constexpr std::size_t drop_reason_count =
    static_cast<std::size_t>(drop_reason::ring_full) + 1;

/// Sends a packet to a target.
struct send_to_target
{
    target_id target;
    packet_header header;
    payload_view payload;
};

/// Sends a packet to the caller at header.return_path.
struct send_to_caller
{
    packet_header header;
    payload_view payload;
};

/// Passes a caller's packet on to another instance.
struct pass_to_peer
{
    instance_id peer;
    packet_header header;
    payload_view payload;
};

/// Sends a control message to another instance.
struct send_to_peer
{
    instance_id peer;
    peer_message message;
};

/// Drops the packet at hand.
struct drop_packet
{
    drop_reason reason = drop_reason::malformed;
};

/// Anything that a decision may ask for.
using action =
    std::variant<send_to_target, send_to_caller, pass_to_peer, send_to_peer, drop_packet>;

/// The actions of one event, in the order in which they are to be carried out.
using action_list = std::vector<action>;

} // namespace kumquatpath

#endif
