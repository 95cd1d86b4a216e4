#ifndef KUMQUATPATH_EDGE_NATIVE_PACKET_FORMAT_HPP
#define KUMQUATPATH_EDGE_NATIVE_PACKET_FORMAT_HPP

/// \file
/// Packets of kumquatpath's own form, wire/packet.fbs.

#include <kumquatpath/edge/packet_format.hpp>

namespace kumquatpath
{

/// Reads and writes packets of the project's own form. A target answers straight to where
/// the packet came from.
class native_packet_format final : public packet_format
{
public:
    std::optional<flow_packet> read(const received_packet& packet) const override;
    std::size_t write_forward(const received_packet& packet, const target_record& target,
                              flow_token token, std::span<std::byte> out) const override;
    std::size_t write_refusal(const received_packet& packet, std::span<std::byte> out,
                              endpoint& destination) const override;
};

} // namespace kumquatpath

#endif
