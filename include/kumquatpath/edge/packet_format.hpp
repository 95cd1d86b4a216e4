#ifndef KUMQUATPATH_EDGE_PACKET_FORMAT_HPP
#define KUMQUATPATH_EDGE_PACKET_FORMAT_HPP

/// \file
/// The interface to the format of packets between callers, instances and targets.

#include <kumquatpath/decision/flow_steering.hpp>
#include <kumquatpath/model/bytes.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace kumquatpath
{

/// A received datagram with its source.
struct received_packet
{
    byte_view datagram;
    /// The sender: a caller, or the fabric that forwards callers' packets.
    endpoint source;
};

/// Reads received packets and writes the datagrams that forward or refuse them. The
/// functions have no side effects other than on their output parameters.
class packet_format
{
public:
    packet_format() = default;
    virtual ~packet_format() = default;
    packet_format(const packet_format&) = delete;
    packet_format& operator=(const packet_format&) = delete;
    packet_format(packet_format&&) = delete;
    packet_format& operator=(packet_format&&) = delete;

    /// Returns the fields of \p packet that are needed to steer its flow, or nothing if
    /// it is malformed or not of a kind that a caller may send.
    virtual std::optional<flow_packet> read(const received_packet& packet) const = 0;

    /// Writes to \p out the datagram that forwards \p packet to \p target and returns its
    /// size in bytes. \p packet must be one that read() accepts. \p out must have
    /// max_forwarded_packet_bytes bytes.
    virtual std::size_t write_forward(const received_packet& packet,
                                      const target_record& target, flow_token token,
                                      std::span<std::byte> out) const = 0;

    /// Writes to \p out the datagram that tells the caller that \p packet has not opened
    /// a flow, and returns its size in bytes. Sets \p destination to the address to which
    /// it must be sent. The preconditions of write_forward() apply.
    virtual std::size_t write_refusal(const received_packet& packet,
                                      std::span<std::byte> out,
                                      endpoint& destination) const = 0;
};

/// The maximum size of a datagram that a packet_format reads or writes.
inline constexpr std::size_t max_forwarded_packet_bytes = 1472;

} // namespace kumquatpath

#endif
