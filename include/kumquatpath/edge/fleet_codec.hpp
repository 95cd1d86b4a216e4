#ifndef KUMQUATPATH_EDGE_FLEET_CODEC_HPP
#define KUMQUATPATH_EDGE_FLEET_CODEC_HPP

/// \file
/// The encoding of what entry instances tell each other: FlatBuffers behind a keyed hash.

#include <kumquatpath/edge/peer_seal.hpp>
#include <kumquatpath/model/fleet_message.hpp>

namespace kumquatpath
{

/// The version that this release writes, and the only one that it reads.
inline constexpr std::uint8_t fleet_version = 1;

/// The longest message in one datagram, in bytes.
inline constexpr std::size_t longest_fleet_datagram = 1400;

/// The longest message in one TCP frame, in bytes.
inline constexpr std::size_t longest_fleet_frame = 4U << 20U;

/// Reads a message. Fails with message_fault::unauthenticated, message_fault::malformed
/// or message_fault::unknown_version.
boost::leaf::result<fleet_message> decode_fleet(payload_view message, const peer_key& key,
                                                std::size_t longest);

/// Returns \p message as it is sent.
std::vector<std::byte> encode_fleet(const fleet_message& message, const peer_key& key);

} // namespace kumquatpath

#endif
