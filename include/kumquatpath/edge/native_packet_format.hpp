#ifndef KUMQUATPATH_EDGE_NATIVE_PACKET_FORMAT_HPP
#define KUMQUATPATH_EDGE_NATIVE_PACKET_FORMAT_HPP

/// \file
/// Kumquatpath's native packet format, defined in wire/packet.fbs.

#include <kumquatpath/edge/packet_format.hpp>

namespace kumquatpath
{

/// Reads and writes packets in the native format. A forwarded packet carries the source
/// address of the received one, so that the target sends its answers directly there.
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
