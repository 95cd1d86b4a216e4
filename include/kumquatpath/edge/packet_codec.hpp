#ifndef KUMQUATPATH_EDGE_PACKET_CODEC_HPP
#define KUMQUATPATH_EDGE_PACKET_CODEC_HPP

/// \file
/// The FlatBuffers encoding of packets between callers, instances and targets.

#include <kumquatpath/edge/decode_failure.hpp>
#include <kumquatpath/model/bytes.hpp>
#include <kumquatpath/model/packet.hpp>

#include <boost/leaf/result.hpp>

#include <flatbuffers/flatbuffers.h>

namespace kumquatpath
{

/// The version of the encoding. decode_packet() accepts no other version.
inline constexpr std::uint8_t packet_version = 1;

/// The maximum size of an encoded packet. decode_packet() rejects longer datagrams.
inline constexpr std::size_t max_packet_bytes = 1472;

/// A decoded packet. The payload refers to the bytes of the datagram.
struct decoded_packet
{
    packet_header header;
    byte_view payload;
};

/// Decodes \p datagram. Fails with decode_failure::malformed or
/// decode_failure::unknown_version. Never reads outside the datagram and allocates no
/// memory.
boost::leaf::result<decoded_packet> decode_packet(byte_view datagram);

/// Clears \p builder, encodes a packet into it and returns the encoded bytes. They stay
/// valid until the builder is used again or destroyed.
byte_view encode_packet(flatbuffers::FlatBufferBuilder& builder,
                        const packet_header& header, byte_view payload);

} // namespace kumquatpath

#endif
