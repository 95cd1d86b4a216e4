#include <kumquatpath/edge/native_packet_format.hpp>
#include <kumquatpath/edge/packet_codec.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

bool is_caller_packet(packet_kind kind)
{
    return kind == packet_kind::open || kind == packet_kind::data ||
           kind == packet_kind::close || kind == packet_kind::cancel;
}

/// Encodes a packet into \p out and returns its size in bytes, or 0 if it does not fit.
std::size_t encode_into(const packet_header& header, byte_view payload,
                        std::span<std::byte> out)
{
    flatbuffers::FlatBufferBuilder builder;
    const byte_view bytes = encode_packet(builder, header, payload);
    if (bytes.size() > out.size())
    {
        return 0;
    }
    std::copy(bytes.begin(), bytes.end(), out.begin());
    return bytes.size();
}

} // namespace

std::optional<flow_packet> native_packet_format::read(const received_packet& packet) const
{
    const auto decoded = decode_packet(packet.datagram);
    if (!decoded || !is_caller_packet(decoded->header.kind))
    {
        return std::nullopt;
    }
    const packet_header& header = decoded->header;
    return flow_packet{.flow = header.flow,
                       .caller = packet.source,
                       .listener = header.listener,
                       .token = header.token,
                       .is_opening = header.kind == packet_kind::open,
                       .is_end = header.kind == packet_kind::close,
                       .has_payload = !decoded->payload.empty(),
                       .request = header.request,
                       .tenant = header.tenant,
                       .traffic_class = header.traffic_class};
}

std::size_t native_packet_format::write_forward(const received_packet& packet,
                                                const target_record& target,
                                                flow_token token,
                                                std::span<std::byte> out) const
{
    const auto decoded = decode_packet(packet.datagram);
    if (!decoded)
    {
        return 0;
    }
    packet_header header = decoded->header;
    header.token = token;
    header.service = target.service;
    header.return_path = packet.source;
    return encode_into(header, decoded->payload, out);
}

std::size_t native_packet_format::write_refusal(const received_packet& packet,
                                                std::span<std::byte> out,
                                                endpoint& destination) const
{
    const auto decoded = decode_packet(packet.datagram);
    if (!decoded)
    {
        return 0;
    }
    packet_header header = decoded->header;
    header.kind = packet_kind::refusal;
    header.outcome = request_outcome::not_run;
    header.reason = refusal_reason::overload;
    destination = packet.source;
    return encode_into(header, {}, out);
}

} // namespace kumquatpath
