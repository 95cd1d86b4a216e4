#ifndef KUMQUATPATH_EDGE_PACKET_CODEC_HPP
#define KUMQUATPATH_EDGE_PACKET_CODEC_HPP

/// \file
/// The encoding of packets between callers, instances and targets: FlatBuffers.

#include <kumquatpath/edge/decode_failure.hpp>
#include <kumquatpath/model/bytes.hpp>
#include <kumquatpath/model/packet.hpp>

#include <boost/leaf/result.hpp>

#include <flatbuffers/flatbuffers.h>

namespace kumquatpath
{

/// The version that this release writes, and the only one that it reads.
inline constexpr std::uint8_t packet_version = 1;

/// The longest datagram that is read or written, in bytes.
inline constexpr std::size_t max_packet_bytes = 1472;

/// A packet that was read. The payload points into the datagram.
struct decoded_packet
{
    packet_header header;
    byte_view payload;
};

/// Reads \p datagram. Fails with decode_failure::malformed or
/// decode_failure::unknown_version; it never reads outside the datagram and allocates
/// nothing.
boost::leaf::result<decoded_packet> decode_packet(byte_view datagram);

/// Writes a packet into \p builder, which is cleared first, and returns the datagram. It
/// stays valid until the builder is used again.
byte_view encode_packet(flatbuffers::FlatBufferBuilder& builder,
                        const packet_header& header, byte_view payload);

} // namespace kumquatpath

#endif
