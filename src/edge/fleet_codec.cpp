#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/model/display_name.hpp>

#include <fleet_generated.h>

#include <algorithm>
#include <cstring>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;
using builder = flatbuffers::FlatBufferBuilder;

/// Returns a copy of the struct at \p source, which may be unaligned. The FlatBuffers
/// verifier does not check the alignment of structs, so their fields must not be read in
/// place.
template <class Struct>
Struct load_unaligned(const void* source)
{
    Struct copy;
    std::memcpy(&copy, source, sizeof copy);
    return copy;
}

/// The age of evidence is encoded in steps, in this number of bits.
constexpr unsigned evidence_age_bits = 6;
constexpr unsigned max_evidence_age = (1U << evidence_age_bits) - 1;

/// Returns the step of the age. Speeds count for longer than other evidence.
constexpr std::chrono::milliseconds evidence_age_step(evidence_kind kind)
{
    return std::chrono::milliseconds(kind == evidence_kind::speed ? 400 : 100);
}

wire::Evidence to_wire(const target_evidence& evidence)
{
    const auto steps = std::clamp<std::int64_t>(
        evidence.age / evidence_age_step(evidence.kind), 0, max_evidence_age);
    const unsigned kind = static_cast<unsigned>(evidence.kind) << evidence_age_bits;
    return {evidence.target.value, evidence.incarnation,
            static_cast<std::uint8_t>(kind | static_cast<unsigned>(steps)),
            evidence.level};
}

target_evidence from_wire(const wire::Evidence& encoded)
{
    const unsigned kind_and_age = encoded.kind_and_age();
    const auto kind = static_cast<evidence_kind>(kind_and_age >> evidence_age_bits);
    return {.target = {encoded.target()},
            .incarnation = encoded.incarnation(),
            .kind = kind,
            .level = encoded.level(),
            .age = (kind_and_age & max_evidence_age) * evidence_age_step(kind)};
}

flatbuffers::Offset<wire::TargetChange> to_wire(builder& out, const target_change& change)
{
    const target_record empty_record;
    const target_record& record = change.record ? *change.record : empty_record;
    return wire::CreateTargetChange(
        out, change.key.value, change.revision.value, change.is_gone,
        change.record.has_value(), record.service.value, pack(record.address),
        record.data_centre.value, record.slots, record.is_draining,
        static_cast<std::uint32_t>(record.warm_up_left.count()), record.incarnation,
        change.is_unusable, change.revision.era.value, record.sequence,
        change.entry.value);
}

target_change from_wire(const wire::TargetChange& encoded)
{
    target_change change{.key = {encoded.key()},
                         .entry = {encoded.entry()},
                         .revision = {encoded.revision(), {encoded.era()}},
                         .is_gone = encoded.is_gone(),
                         .is_unusable = encoded.is_gone() && encoded.is_unusable()};
    if (encoded.has_record())
    {
        change.record = target_record{
            .key = {encoded.key()},
            .service = {encoded.service()},
            .address = unpack_endpoint(encoded.address()),
            .data_centre = {encoded.data_centre()},
            .slots = encoded.slots(),
            .is_draining = encoded.is_draining(),
            .warm_up_left = std::chrono::milliseconds(encoded.warm_up_left_ms()),
            .incarnation = encoded.incarnation(),
            .sequence = encoded.sequence()};
    }
    return change;
}

flatbuffers::Offset<wire::EvacuationChange> to_wire(builder& out,
                                                    const evacuation_change& change)
{
    return wire::CreateEvacuationChange(
        out, change.data_centre.value, out.CreateString(change.name),
        change.revision.value, change.is_withdrawn, change.revision.era.value);
}

evacuation_change from_wire(const wire::EvacuationChange& encoded)
{
    const bool is_named =
        encoded.name() != nullptr && is_display_name(encoded.name()->string_view());
    return {.data_centre = {encoded.data_centre()},
            .name = is_named ? encoded.name()->str() : std::string(),
            .revision = {encoded.revision(), {encoded.era()}},
            .is_withdrawn = encoded.is_withdrawn()};
}

/// Returns the version of the configuration that \p encoded, a message, states.
template <class Message>
configuration_version version_from_wire(const Message& encoded)
{
    return {.revision = {encoded.configuration(), {encoded.configuration_era()}},
            .generation = {encoded.generation()}};
}

/// Returns the position that \p encoded, a message, states.
template <class Message>
state_revision position_from_wire(const Message& encoded)
{
    return {encoded.position(), {encoded.position_era()}};
}

/// Returns the completeness that \p encoded states. An older instance leaves it out.
state_revision completeness_from_wire(const wire::StateReply& encoded)
{
    const state_revision stated{encoded.complete_from(), {encoded.complete_from_era()}};
    return stated.value == unknown_completeness.value ? unknown_completeness : stated;
}

struct body_writer
{
    builder& out;
    wire::FleetBody type = wire::FleetBody::NONE;

    flatbuffers::Offset<void> operator()(const fleet_heartbeat& heartbeat)
    {
        std::vector<wire::Member> members;
        for (const fleet_member& member : heartbeat.members)
        {
            members.emplace_back(pack(member.address), member.instance.value,
                                 member.data_centre.value);
        }
        std::vector<wire::Evidence> evidence;
        for (const target_evidence& each : heartbeat.evidence)
        {
            evidence.push_back(to_wire(each));
        }
        const auto members_offset = out.CreateVectorOfStructs(members);
        const flatbuffers::Offset<flatbuffers::Vector<const wire::Evidence*>>
            evidence_offset = evidence.empty() ? 0 : out.CreateVectorOfStructs(evidence);
        type = wire::FleetBody::Beat;
        return wire::CreateBeat(out, heartbeat.incarnation, pack(heartbeat.address),
                                heartbeat.data_centre.value, heartbeat.is_leaving,
                                heartbeat.position.value,
                                heartbeat.configuration.revision.value,
                                static_cast<std::uint32_t>(heartbeat.age.count()),
                                heartbeat.read_by.value, members_offset, evidence_offset,
                                heartbeat.position.era.value,
                                heartbeat.configuration.revision.era.value,
                                heartbeat.configuration.generation.value)
            .Union();
    }

    flatbuffers::Offset<void> operator()(const state_request& request)
    {
        type = wire::FleetBody::StateRequest;
        return wire::CreateStateRequest(
                   out, request.position.value, request.configuration.revision.value,
                   request.accepts_compressed_text, request.position.era.value,
                   request.configuration.revision.era.value,
                   request.configuration.generation.value)
            .Union();
    }

    flatbuffers::Offset<void> operator()(const flow_notice& notice)
    {
        type = wire::FleetBody::FlowNotice;
        return wire::CreateFlowNotice(out, notice.flow.value, notice.target.value)
            .Union();
    }

    flatbuffers::Offset<void> operator()(const state_reply& reply)
    {
        std::vector<flatbuffers::Offset<wire::TargetChange>> changes;
        for (const target_change& change : reply.update.targets)
        {
            changes.push_back(to_wire(out, change));
        }
        std::vector<flatbuffers::Offset<wire::EvacuationChange>> evacuations;
        for (const evacuation_change& change : reply.update.evacuations)
        {
            evacuations.push_back(to_wire(out, change));
        }
        const auto evacuations_offset = out.CreateVector(evacuations);
        const auto changes_offset = out.CreateVector(changes);
        const auto text_offset = out.CreateVector(
            reinterpret_cast<const std::uint8_t*>(reply.configuration_text.data()),
            reply.configuration_text.size());
        type = wire::FleetBody::StateReply;
        return wire::CreateStateReply(out, reply.update.position.value, changes_offset,
                                      reply.configuration.revision.value, text_offset,
                                      reply.update.complete_from.value,
                                      reply.update.is_whole, evacuations_offset,
                                      reply.is_text_compressed,
                                      reply.update.position.era.value,
                                      reply.configuration.revision.era.value,
                                      reply.update.complete_from.era.value,
                                      reply.configuration.generation.value,
                                      reply.written.value, reply.written.era.value)
            .Union();
    }
};

fleet_heartbeat from_wire(const wire::Beat& encoded)
{
    fleet_heartbeat heartbeat{.incarnation = encoded.incarnation(),
                              .address = unpack_endpoint(encoded.address()),
                              .data_centre = {encoded.data_centre()},
                              .is_leaving = encoded.is_leaving(),
                              .position = position_from_wire(encoded),
                              .configuration = version_from_wire(encoded),
                              .age = std::chrono::milliseconds(encoded.age_ms()),
                              .read_by = {encoded.read_by()}};
    for (unsigned i = 0; encoded.members() != nullptr && i < encoded.members()->size();
         ++i)
    {
        const auto member = load_unaligned<wire::Member>(encoded.members()->Get(i));
        heartbeat.members.push_back({.instance = {member.instance()},
                                     .address = unpack_endpoint(member.address()),
                                     .data_centre = {member.data_centre()}});
    }
    for (unsigned i = 0; encoded.evidence() != nullptr && i < encoded.evidence()->size();
         ++i)
    {
        heartbeat.evidence.push_back(
            from_wire(load_unaligned<wire::Evidence>(encoded.evidence()->Get(i))));
    }
    return heartbeat;
}

state_reply from_wire(const wire::StateReply& encoded)
{
    state_reply reply{.update = {.position = position_from_wire(encoded),
                                 .complete_from = completeness_from_wire(encoded),
                                 .is_whole = encoded.is_whole()},
                      .configuration = version_from_wire(encoded),
                      .written = {encoded.written(), {encoded.written_era()}},
                      .is_text_compressed = encoded.is_text_compressed()};
    if (encoded.targets() != nullptr)
    {
        for (const wire::TargetChange* const change : *encoded.targets())
        {
            reply.update.targets.push_back(from_wire(*change));
        }
    }
    if (encoded.evacuations() != nullptr)
    {
        for (const wire::EvacuationChange* const change : *encoded.evacuations())
        {
            reply.update.evacuations.push_back(from_wire(*change));
        }
    }
    if (const auto* const text = encoded.configuration_text())
    {
        reply.configuration_text.assign(text->begin(), text->end());
    }
    return reply;
}

} // namespace

leaf::result<fleet_message> decode_fleet_message(byte_view message, const peer_key& key,
                                                 std::size_t max_bytes)
{
    BOOST_LEAF_AUTO(bytes, verify_mac(message, key, max_bytes));
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size());
    if (!wire::VerifyFleetMessageBuffer(verifier))
    {
        return leaf::new_error(decode_failure::malformed);
    }
    const wire::FleetMessage& encoded = *wire::GetFleetMessage(bytes.data());
    if (encoded.version() != fleet_message_version)
    {
        return leaf::new_error(decode_failure::unknown_version);
    }
    fleet_message result{.sender = {encoded.sender()}, .sequence = encoded.sequence()};
    if (const auto* const heartbeat = encoded.body_as_Beat())
    {
        result.body = from_wire(*heartbeat);
    }
    else if (const auto* const request = encoded.body_as_StateRequest())
    {
        result.body =
            state_request{.position = position_from_wire(*request),
                          .configuration = version_from_wire(*request),
                          .accepts_compressed_text = request->accepts_compressed_text()};
    }
    else if (const auto* const reply = encoded.body_as_StateReply())
    {
        result.body = from_wire(*reply);
    }
    else if (const auto* const notice = encoded.body_as_FlowNotice())
    {
        result.body = flow_notice{.flow = {notice->flow()}, .target = {notice->target()}};
    }
    else
    {
        return leaf::new_error(decode_failure::malformed);
    }
    return result;
}

std::vector<std::byte> encode_fleet_message(const fleet_message& message,
                                            const peer_key& key)
{
    builder out;
    body_writer writer{.out = out};
    const auto body = std::visit(writer, message.body);
    wire::FinishFleetMessageBuffer(
        out, wire::CreateFleetMessage(out, fleet_message_version, message.sender.value,
                                      message.sequence, writer.type, body));
    std::vector<std::byte> message_bytes;
    append_with_mac(std::as_bytes(std::span(out.GetBufferPointer(), out.GetSize())), key,
                    message_bytes);
    return message_bytes;
}

} // namespace kumquatpath
