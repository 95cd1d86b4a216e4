#ifndef KUMQUATPATH_EDGE_PACKET_FORMAT_HPP
#define KUMQUATPATH_EDGE_PACKET_FORMAT_HPP

/// \file
/// The form of callers' packets, as an interface that an adapter provides.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/flow_steering.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace kumquatpath
{

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

    /// Returns what \p datagram says, or nothing if it is no packet that a caller may
    /// send.
    virtual std::optional<flow_packet> read(payload_view datagram) const = 0;

    /// Writes the datagram that takes the packet in \p datagram to \p target and returns
    /// its size. \p out has longest_forward bytes.
    virtual std::size_t write_forward(payload_view datagram, const target_record& target,
                                      flow_token token,
                                      std::span<std::byte> out) const = 0;

    /// Writes the datagram that ends the flow of the packet in \p datagram, sets where it
    /// goes and returns its size.
    virtual std::size_t write_reset(payload_view datagram, std::span<std::byte> out,
                                    endpoint& to) const = 0;
};

/// The longest datagram that a packet_format reads or writes, in bytes.
inline constexpr std::size_t longest_forward = 1472;

} // namespace kumquatpath

#endif
