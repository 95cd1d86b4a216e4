#ifndef KUMQUATPATH_EDGE_PEER_CODEC_HPP
#define KUMQUATPATH_EDGE_PEER_CODEC_HPP

/// \file
/// The encoding of messages between instances: FlatBuffers behind a keyed hash.
///
/// A message is 16 bytes of BLAKE2b, keyed with the fleet's shared key, then the
/// FlatBuffer that the hash covers. A message that fails the hash is refused before it is
/// parsed.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/edge/peer_seal.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <boost/leaf/result.hpp>

#include <flatbuffers/flatbuffers.h>

#include <string>
#include <variant>

namespace kumquatpath
{

/// The version that this release writes, and the only one that it reads.
inline constexpr std::uint8_t peer_version = 1;

/// The longest message that is read from a datagram, in bytes.
inline constexpr std::size_t longest_peer_datagram = 16384;

/// The longest message that is read from a TCP frame: a stored configuration and its
/// members.
inline constexpr std::size_t longest_peer_frame = 2U << 20U;

/// A caller's packet that a peer passed on, in its own encoding.
struct passed_packet
{
    payload_view datagram;
};

/// Asks for the configuration in force, if it is newer than \c newer_than.
struct configuration_request
{
    generation newer_than;
};

/// The configuration's stored envelope, empty if there is none that is newer, and the
/// members.
struct configuration_reply
{
    kumquatpath::generation generation;
    std::string envelope;
    std::vector<member_digest> members;
};

/// What a message between instances carries.
using peer_body =
    std::variant<peer_message, passed_packet, configuration_request, configuration_reply>;

/// A message between instances, with its sender.
struct peer_envelope
{
    instance_id sender;
    /// Larger on each message of one incarnation of the sender.
    std::uint64_t sequence = 0;
    peer_body body;
};

/// Reads a message. Fails with drop_reason::unauthenticated_peer, drop_reason::malformed
/// or drop_reason::unknown_version. A passed_packet points into \p message.
boost::leaf::result<peer_envelope> decode_peer(payload_view message, const peer_key& key,
                                               std::size_t longest);

/// Writes a message into \p builder, which is cleared first, and appends it to \p out.
void encode_peer(flatbuffers::FlatBufferBuilder& builder, const peer_envelope& envelope,
                 const peer_key& key, std::vector<std::byte>& out);

} // namespace kumquatpath

#endif
