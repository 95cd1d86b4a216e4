#ifndef KUMQUATPATH_EDGE_FLEET_CODEC_HPP
#define KUMQUATPATH_EDGE_FLEET_CODEC_HPP

/// \file
/// The encoding of what entry instances tell each other: FlatBuffers behind a keyed hash.

#include <kumquatpath/edge/peer_authentication.hpp>
#include <kumquatpath/model/fleet_message.hpp>

namespace kumquatpath
{

/// The version that this release writes, and the only one that it reads.
inline constexpr std::uint8_t fleet_message_version = 1;

/// The longest message in one datagram, in bytes.
inline constexpr std::size_t max_fleet_datagram_bytes = 1400;

/// The longest message in one TCP frame, in bytes.
inline constexpr std::size_t max_fleet_frame_bytes = 4U << 20U;

/// Reads a message. Fails with decode_failure::unauthenticated, decode_failure::malformed
/// or decode_failure::unknown_version.
boost::leaf::result<fleet_message>
decode_fleet_message(byte_view message, const peer_key& key, std::size_t max_bytes);

/// Returns \p message as it is sent.
std::vector<std::byte> encode_fleet_message(const fleet_message& message,
                                            const peer_key& key);

} // namespace kumquatpath

#endif
