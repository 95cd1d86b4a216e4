#include <kumquatpath/edge/fleet_codec.hpp>

#include <fleet_generated.h>

#include <cstring>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;
using builder = flatbuffers::FlatBufferBuilder;

/// Returns a copy of the struct at \p place. The verifier does not see to the alignment
/// of structs, so they may not be read in place.
template <class Struct>
Struct copied(const void* place)
{
    Struct copy;
    std::memcpy(&copy, place, sizeof copy);
    return copy;
}

flatbuffers::Offset<wire::TargetChange> to_wire(builder& out, const target_change& change)
{
    const target_record none;
    const target_record& record = change.record ? *change.record : none;
    return wire::CreateTargetChange(
        out, change.key.value, change.revision.value, change.is_gone,
        change.record.has_value(), record.service.value, pack(record.address),
        record.data_centre.value, record.slots, record.is_draining,
        static_cast<std::uint32_t>(record.warm_up_left.count()), record.incarnation);
}

target_change from_wire(const wire::TargetChange& read)
{
    target_change change{
        .key = {read.key()}, .revision = {read.revision()}, .is_gone = read.is_gone()};
    if (read.has_record())
    {
        change.record = target_record{
            .key = {read.key()},
            .service = {read.service()},
            .address = unpack_endpoint(read.address()),
            .data_centre = {read.data_centre()},
            .slots = read.slots(),
            .is_draining = read.is_draining(),
            .warm_up_left = std::chrono::milliseconds(read.warm_up_left_ms()),
            .incarnation = read.incarnation()};
    }
    return change;
}

struct body_writer
{
    builder& out;
    wire::FleetBody type = wire::FleetBody::NONE;

    flatbuffers::Offset<void> operator()(const fleet_beat& beat)
    {
        std::vector<wire::Member> members;
        for (const fleet_member& each : beat.members)
        {
            members.emplace_back(pack(each.address), each.instance.value,
                                 each.data_centre.value);
        }
        const auto members_at = out.CreateVectorOfStructs(members);
        type = wire::FleetBody::Beat;
        return wire::CreateBeat(out, beat.incarnation, pack(beat.address),
                                beat.data_centre.value, beat.is_leaving,
                                beat.position.value, beat.configuration.value,
                                static_cast<std::uint32_t>(beat.age.count()),
                                beat.read_by.value, members_at)
            .Union();
    }

    flatbuffers::Offset<void> operator()(const state_request& request)
    {
        type = wire::FleetBody::StateRequest;
        return wire::CreateStateRequest(out, request.position.value,
                                        request.configuration.value)
            .Union();
    }

    flatbuffers::Offset<void> operator()(const state_reply& reply)
    {
        std::vector<flatbuffers::Offset<wire::TargetChange>> changes;
        for (const target_change& each : reply.targets)
        {
            changes.push_back(to_wire(out, each));
        }
        const auto changes_at = out.CreateVector(changes);
        const auto text_at = out.CreateVector(
            reinterpret_cast<const std::uint8_t*>(reply.configuration_text.data()),
            reply.configuration_text.size());
        type = wire::FleetBody::StateReply;
        return wire::CreateStateReply(out, reply.position.value, changes_at,
                                      reply.configuration.value, text_at)
            .Union();
    }
};

fleet_beat from_wire(const wire::Beat& read)
{
    fleet_beat beat{.incarnation = read.incarnation(),
                    .address = unpack_endpoint(read.address()),
                    .data_centre = {read.data_centre()},
                    .is_leaving = read.is_leaving(),
                    .position = {read.position()},
                    .configuration = {read.configuration()},
                    .age = std::chrono::milliseconds(read.age_ms()),
                    .read_by = {read.read_by()}};
    for (unsigned i = 0; read.members() != nullptr && i < read.members()->size(); ++i)
    {
        const auto member = copied<wire::Member>(read.members()->Get(i));
        beat.members.push_back({.instance = {member.instance()},
                                .address = unpack_endpoint(member.address()),
                                .data_centre = {member.data_centre()}});
    }
    return beat;
}

state_reply from_wire(const wire::StateReply& read)
{
    state_reply reply{.position = {read.position()},
                      .configuration = {read.configuration()}};
    if (read.targets() != nullptr)
    {
        for (const wire::TargetChange* const each : *read.targets())
        {
            reply.targets.push_back(from_wire(*each));
        }
    }
    if (const auto* const text = read.configuration_text())
    {
        reply.configuration_text.assign(text->begin(), text->end());
    }
    return reply;
}

} // namespace

leaf::result<fleet_message> decode_fleet(payload_view message, const peer_key& key,
                                         std::size_t longest)
{
    BOOST_LEAF_AUTO(bytes, unseal(message, key, longest));
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size());
    if (!wire::VerifyFleetMessageBuffer(verifier))
    {
        return leaf::new_error(message_fault::malformed);
    }
    const wire::FleetMessage& read = *wire::GetFleetMessage(bytes.data());
    if (read.version() != fleet_version)
    {
        return leaf::new_error(message_fault::unknown_version);
    }
    fleet_message result{.sender = {read.sender()}, .sequence = read.sequence()};
    if (const auto* const beat = read.body_as_Beat())
    {
        result.body = from_wire(*beat);
    }
    else if (const auto* const request = read.body_as_StateRequest())
    {
        result.body = state_request{.position = {request->position()},
                                    .configuration = {request->configuration()}};
    }
    else if (const auto* const reply = read.body_as_StateReply())
    {
        result.body = from_wire(*reply);
    }
    else
    {
        return leaf::new_error(message_fault::malformed);
    }
    return result;
}

std::vector<std::byte> encode_fleet(const fleet_message& message, const peer_key& key)
{
    builder out;
    body_writer writer{.out = out};
    const auto body = std::visit(writer, message.body);
    wire::FinishFleetMessageBuffer(
        out, wire::CreateFleetMessage(out, fleet_version, message.sender.value,
                                      message.sequence, writer.type, body));
    std::vector<std::byte> sealed;
    seal(std::as_bytes(std::span(out.GetBufferPointer(), out.GetSize())), key, sealed);
    return sealed;
}

} // namespace kumquatpath
