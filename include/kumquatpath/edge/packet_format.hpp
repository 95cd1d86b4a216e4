#ifndef KUMQUATPATH_EDGE_PACKET_FORMAT_HPP
#define KUMQUATPATH_EDGE_PACKET_FORMAT_HPP

/// \file
/// The form of callers' packets, as an interface that an adapter provides.

#include <kumquatpath/decision/flow_steering.hpp>
#include <kumquatpath/model/bytes.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace kumquatpath
{

/// A datagram as it came.
struct received_packet
{
    byte_view datagram;
    /// Who sent it: a caller, or the fabric before it.
    endpoint source;
};

/// Reads packets and writes the datagrams that they become. All functions are pure.
class packet_format
{
public:
    packet_format() = default;
    virtual ~packet_format() = default;
    packet_format(const packet_format&) = delete;
    packet_format& operator=(const packet_format&) = delete;
    packet_format(packet_format&&) = delete;
    packet_format& operator=(packet_format&&) = delete;

    /// Returns what \p packet says, or nothing if it is none that a caller may send.
    virtual std::optional<flow_packet> read(const received_packet& packet) const = 0;

    /// Writes the datagram that takes \p packet to \p target and returns its size. \p out
    /// has max_forwarded_packet_bytes bytes.
    virtual std::size_t write_forward(const received_packet& packet,
                                      const target_record& target, flow_token token,
                                      std::span<std::byte> out) const = 0;

    /// Writes the datagram that tells the caller that \p packet has opened no flow, sets
    /// where it goes and returns its size.
    virtual std::size_t write_refusal(const received_packet& packet,
                                      std::span<std::byte> out,
                                      endpoint& destination) const = 0;
};

/// The longest datagram that a packet_format reads or writes, in bytes.
inline constexpr std::size_t max_forwarded_packet_bytes = 1472;

} // namespace kumquatpath

#endif
