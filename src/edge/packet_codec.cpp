#include <kumquatpath/edge/packet_codec.hpp>

#include <packet_generated.h>

namespace kumquatpath
{
namespace
{

const std::uint8_t* as_uint8(byte_view bytes)
{
    return reinterpret_cast<const std::uint8_t*>(bytes.data());
}

bool is_well_formed(const wire::Packet& packet)
{
    const auto size = packet.payload() == nullptr ? 0 : packet.payload()->size();
    return size <= max_payload_bytes && packet.kind() <= wire::PacketKind::MAX &&
           packet.outcome() <= wire::Outcome::MAX &&
           packet.reason() <= static_cast<std::uint8_t>(refusal_reason::target_shed);
}

packet_header header_of(const wire::Packet& packet)
{
    return {.kind = static_cast<packet_kind>(packet.kind()),
            .outcome = static_cast<request_outcome>(packet.outcome()),
            .reason = static_cast<refusal_reason>(packet.reason()),
            .repeatable = packet.repeatable(),
            .token = {packet.token()},
            .listener = unpack_endpoint(packet.listener()),
            .service = {packet.service()},
            .tenant = {packet.tenant()},
            .traffic_class = {packet.traffic_class()},
            .flow = {packet.flow()},
            .request = {packet.request()},
            .deadline = std::chrono::microseconds(packet.deadline_us()),
            .fragment = packet.fragment(),
            .fragments = packet.fragments(),
            .return_path = unpack_endpoint(packet.return_path())};
}

byte_view payload_of(const wire::Packet& packet)
{
    if (packet.payload() == nullptr)
    {
        return {};
    }
    return std::as_bytes(std::span(packet.payload()->data(), packet.payload()->size()));
}

} // namespace

boost::leaf::result<decoded_packet> decode_packet(byte_view datagram)
{
    flatbuffers::Verifier verifier(as_uint8(datagram), datagram.size());
    if (datagram.size() > max_packet_bytes || !wire::VerifyPacketBuffer(verifier))
    {
        return boost::leaf::new_error(decode_failure::malformed);
    }
    const wire::Packet& packet = *wire::GetPacket(datagram.data());
    if (packet.version() != packet_version)
    {
        return boost::leaf::new_error(decode_failure::unknown_version);
    }
    if (!is_well_formed(packet))
    {
        return boost::leaf::new_error(decode_failure::malformed);
    }
    return decoded_packet{.header = header_of(packet), .payload = payload_of(packet)};
}

byte_view encode_packet(flatbuffers::FlatBufferBuilder& builder,
                        const packet_header& header, byte_view payload)
{
    builder.Clear();
    const auto payload_offset = builder.CreateVector(
        reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
    const auto packet = wire::CreatePacket(
        builder, packet_version, static_cast<wire::PacketKind>(header.kind),
        static_cast<wire::Outcome>(header.outcome),
        static_cast<std::uint8_t>(header.reason), header.repeatable, header.token.value,
        pack(header.listener), header.service.value, header.tenant.value,
        header.traffic_class.value, header.flow.value, header.request.value,
        static_cast<std::uint32_t>(header.deadline.count()), header.fragment,
        header.fragments, pack(header.return_path), payload_offset);
    wire::FinishPacketBuffer(builder, packet);
    return std::as_bytes(std::span(builder.GetBufferPointer(), builder.GetSize()));
}

} // namespace kumquatpath
