#ifndef KUMQUATPATH_EDGE_FLEET_CODEC_HPP
#define KUMQUATPATH_EDGE_FLEET_CODEC_HPP

/// \file
/// The encoding of messages between entry instances: FlatBuffers preceded by a message
/// authentication code.

#include <kumquatpath/edge/peer_authentication.hpp>
#include <kumquatpath/model/fleet_message.hpp>

namespace kumquatpath
{

/// The version of the encoding. decode_fleet_message() accepts no other version.
inline constexpr std::uint8_t fleet_message_version = 1;

/// The maximum size of a message sent in one UDP datagram.
inline constexpr std::size_t max_fleet_datagram_bytes = 1400;

/// The maximum size of a message sent in one TCP frame.
inline constexpr std::size_t max_fleet_frame_bytes = 4U << 20U;

/// Verifies and decodes a message of at most \p max_bytes bytes. Fails with
/// decode_failure::unauthenticated, decode_failure::malformed or
/// decode_failure::unknown_version.
boost::leaf::result<fleet_message>
decode_fleet_message(byte_view message, const peer_key& key, std::size_t max_bytes);

/// Returns the encoded \p message, preceded by its message authentication code.
std::vector<std::byte> encode_fleet_message(const fleet_message& message,
                                            const peer_key& key);

} // namespace kumquatpath

#endif
