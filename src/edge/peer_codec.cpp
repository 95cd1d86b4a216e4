#include <kumquatpath/edge/peer_codec.hpp>

#include <peer_generated.h>

#include <algorithm>
#include <cstring>

namespace kumquatpath
{
namespace
{

wire::MemberDigest to_wire(const member_digest& each)
{
    return {each.incarnation.value, pack(each.address), each.instance.value,
            each.data_centre.value, static_cast<std::uint8_t>(each.state)};
}

member_digest from_wire(const wire::MemberDigest& each)
{
    const auto worst = static_cast<std::uint8_t>(member_state::dead);
    return {.instance = {each.instance()},
            .incarnation = {each.incarnation()},
            .state = static_cast<member_state>(std::min(each.state(), worst)),
            .data_centre = {each.data_centre()},
            .address = unpack_endpoint(each.address())};
}

wire::SubmissionKey to_wire(const submission_key& key)
{
    return {key.flow.value, key.request.value, key.service.value};
}

claim_decision decision_from_wire(std::uint8_t decision)
{
    return decision == 0 ? claim_decision::run : claim_decision::refuse;
}

usage from_wire(const wire::Usage& each)
{
    return {.service = {each.service()},
            .tenant = {each.tenant()},
            .traffic_class = {each.traffic_class()},
            .offered = each.offered(),
            .admitted = each.admitted()};
}

flow_listing::entry from_wire(const wire::FlowEntry& each)
{
    return {.flow = {each.flow()}, .target = {each.target()}};
}

/// Returns a copy of the struct at \p place. The verifier does not see to the alignment
/// of structs, so they may not be read in place.
template <class Struct>
Struct copied(const void* place)
{
    Struct copy;
    std::memcpy(&copy, place, sizeof copy);
    return copy;
}

template <class Element, class Struct>
std::vector<Element> all_from_wire(const flatbuffers::Vector<const Struct*>* list)
{
    std::vector<Element> elements;
    if (list != nullptr)
    {
        elements.reserve(list->size());
        for (std::size_t i = 0; i < list->size(); ++i)
        {
            const auto* const place = list->Data() + i * sizeof(Struct);
            elements.push_back(from_wire(copied<Struct>(place)));
        }
    }
    return elements;
}

submission_key from_wire(const wire::SubmissionKey* place)
{
    if (place == nullptr)
    {
        return {};
    }
    const auto key = copied<wire::SubmissionKey>(place);
    return {.service = {key.service()}, .flow = {key.flow()}, .request = {key.request()}};
}

heartbeat from_wire(const wire::Heartbeat& body)
{
    return {.generation = {body.generation()},
            .switched = {body.switched()},
            .roster = {body.roster()},
            .members = all_from_wire<member_digest>(body.members()),
            .usages = all_from_wire<usage>(body.usages())};
}

flow_listing from_wire(const wire::FlowListing& body)
{
    return {.service = {body.service()},
            .entries = all_from_wire<flow_listing::entry>(body.entries()),
            .complete = body.complete(),
            .group = body.group()};
}

claim from_wire(const wire::Claim& body)
{
    return {.key = from_wire(body.key()),
            .coordinator = {body.coordinator()},
            .decision = decision_from_wire(body.decision()),
            .roster = {body.roster()},
            .keep = std::chrono::milliseconds(body.keep_ms())};
}

claim_reply from_wire(const wire::ClaimReply& body)
{
    return {.key = from_wire(body.key()),
            .valid = body.valid(),
            .coordinator = {body.coordinator()},
            .decision = decision_from_wire(body.decision()),
            .roster = {body.roster()}};
}

std::vector<instance_id> from_wire(const flatbuffers::Vector<std::uint32_t>* list)
{
    std::vector<instance_id> instances;
    for (std::uint32_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        instances.push_back({list->Get(i)});
    }
    return instances;
}

roster_news from_wire(const wire::RosterNews& body)
{
    return {.version = {body.version()},
            .holders = from_wire(body.holders()),
            .previous = from_wire(body.previous()),
            .store_word_age = std::chrono::milliseconds(body.store_word_age_ms())};
}

passed_packet from_wire(const wire::Forwarded& body)
{
    if (body.packet() == nullptr)
    {
        return {};
    }
    return {std::as_bytes(std::span(body.packet()->data(), body.packet()->size()))};
}

configuration_reply from_wire(const wire::ConfigurationReply& body)
{
    return {.generation = {body.generation()},
            .envelope = body.envelope() == nullptr ? "" : body.envelope()->str(),
            .members = all_from_wire<member_digest>(body.members())};
}

boost::leaf::result<peer_body> body_of(const wire::PeerMessage& message)
{
    // The verifier accepts a kind whose table is missing.
    if (message.body() == nullptr)
    {
        return boost::leaf::new_error(drop_reason::malformed);
    }
    switch (message.body_type())
    {
    case wire::PeerBody::Heartbeat:
        return peer_message(from_wire(*message.body_as_Heartbeat()));
    case wire::PeerBody::FlowHint:
    {
        const auto& hint = *message.body_as_FlowHint();
        return peer_message(flow_hint{.service = {hint.service()},
                                      .flow = {hint.flow()},
                                      .target = {hint.target()}});
    }
    case wire::PeerBody::FlowQuery:
    {
        const auto& query = *message.body_as_FlowQuery();
        return peer_message(
            flow_query{.service = {query.service()}, .flow = {query.flow()}});
    }
    case wire::PeerBody::RosterNews:
        return peer_message(from_wire(*message.body_as_RosterNews()));
    case wire::PeerBody::FlowListing:
        return peer_message(from_wire(*message.body_as_FlowListing()));
    case wire::PeerBody::ListingRequest:
    {
        const auto& request = *message.body_as_ListingRequest();
        return peer_message(
            listing_request{.service = {request.service()}, .group = request.group()});
    }
    case wire::PeerBody::Claim:
        return peer_message(from_wire(*message.body_as_Claim()));
    case wire::PeerBody::ClaimReply:
        return peer_message(from_wire(*message.body_as_ClaimReply()));
    case wire::PeerBody::Forwarded:
        return from_wire(*message.body_as_Forwarded());
    case wire::PeerBody::ConfigurationRequest:
        return configuration_request{
            {message.body_as_ConfigurationRequest()->newer_than()}};
    case wire::PeerBody::ConfigurationReply:
        return from_wire(*message.body_as_ConfigurationReply());
    default:
        return boost::leaf::new_error(drop_reason::malformed);
    }
}

/// Writes each kind of body, and tells which kind it wrote.
struct body_writer
{
    using offset = flatbuffers::Offset<void>;

    flatbuffers::FlatBufferBuilder& builder;
    wire::PeerBody type = wire::PeerBody::NONE;

    template <class Table>
    offset written(wire::PeerBody kind, flatbuffers::Offset<Table> table)
    {
        type = kind;
        return table.Union();
    }

    auto members(const std::vector<member_digest>& list)
    {
        return builder.CreateVectorOfStructs<wire::MemberDigest>(
            list.size(),
            [&](std::size_t i, wire::MemberDigest* slot) { *slot = to_wire(list[i]); });
    }

    offset operator()(const heartbeat& body)
    {
        const auto digests = members(body.members);
        const auto usages = builder.CreateVectorOfStructs<wire::Usage>(
            body.usages.size(),
            [&](std::size_t i, wire::Usage* slot)
            {
                const usage& each = body.usages[i];
                *slot =
                    wire::Usage(each.service.value, each.tenant.value,
                                each.traffic_class.value, each.offered, each.admitted);
            });
        return written(wire::PeerBody::Heartbeat,
                       wire::CreateHeartbeat(builder, body.generation.value,
                                             body.switched.value, body.roster.value,
                                             digests, usages));
    }

    offset operator()(const flow_hint& body)
    {
        return written(wire::PeerBody::FlowHint,
                       wire::CreateFlowHint(builder, body.service.value, body.flow.value,
                                            body.target.value));
    }

    offset operator()(const flow_query& body)
    {
        return written(
            wire::PeerBody::FlowQuery,
            wire::CreateFlowQuery(builder, body.service.value, body.flow.value));
    }

    auto instances(const std::vector<instance_id>& list)
    {
        return builder.CreateVector<std::uint32_t>(list.size(), [&](std::size_t i)
                                                   { return list[i].value; });
    }

    offset operator()(const roster_news& body)
    {
        const auto holders = instances(body.holders);
        const auto previous = instances(body.previous);
        return written(wire::PeerBody::RosterNews,
                       wire::CreateRosterNews(
                           builder, body.version.value, holders, previous,
                           static_cast<std::uint32_t>(body.store_word_age.count())));
    }

    offset operator()(const flow_listing& body)
    {
        const auto entries = builder.CreateVectorOfStructs<wire::FlowEntry>(
            body.entries.size(),
            [&](std::size_t i, wire::FlowEntry* slot)
            {
                const flow_listing::entry& each = body.entries[i];
                *slot = wire::FlowEntry(each.flow.value, each.target.value);
            });
        return written(wire::PeerBody::FlowListing,
                       wire::CreateFlowListing(builder, body.service.value, entries,
                                               body.complete, body.group));
    }

    offset operator()(const listing_request& body)
    {
        return written(
            wire::PeerBody::ListingRequest,
            wire::CreateListingRequest(builder, body.service.value, body.group));
    }

    offset operator()(const claim& body)
    {
        const wire::SubmissionKey key = to_wire(body.key);
        return written(wire::PeerBody::Claim,
                       wire::CreateClaim(builder, &key, body.coordinator.value,
                                         static_cast<std::uint8_t>(body.decision),
                                         body.roster.value,
                                         static_cast<std::uint32_t>(body.keep.count())));
    }

    offset operator()(const claim_reply& body)
    {
        const wire::SubmissionKey key = to_wire(body.key);
        return written(wire::PeerBody::ClaimReply,
                       wire::CreateClaimReply(
                           builder, &key, body.valid, body.coordinator.value,
                           static_cast<std::uint8_t>(body.decision), body.roster.value));
    }

    offset operator()(const peer_message& body)
    {
        return std::visit(*this, body);
    }

    offset operator()(const passed_packet& body)
    {
        const auto bytes = builder.CreateVector(
            reinterpret_cast<const std::uint8_t*>(body.datagram.data()),
            body.datagram.size());
        return written(wire::PeerBody::Forwarded, wire::CreateForwarded(builder, bytes));
    }

    offset operator()(const configuration_request& body)
    {
        return written(wire::PeerBody::ConfigurationRequest,
                       wire::CreateConfigurationRequest(builder, body.newer_than.value));
    }

    offset operator()(const configuration_reply& body)
    {
        const auto envelope = builder.CreateString(body.envelope);
        const auto digests = members(body.members);
        return written(wire::PeerBody::ConfigurationReply,
                       wire::CreateConfigurationReply(builder, body.generation.value,
                                                      envelope, digests));
    }
};

} // namespace

boost::leaf::result<peer_envelope> decode_peer(payload_view message, const peer_key& key,
                                               std::size_t longest)
{
    BOOST_LEAF_AUTO(bytes, unseal(message, key, longest));
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                   bytes.size());
    if (!wire::VerifyPeerMessageBuffer(verifier))
    {
        return boost::leaf::new_error(drop_reason::malformed);
    }
    const wire::PeerMessage& read = *wire::GetPeerMessage(bytes.data());
    if (read.version() != peer_version)
    {
        return boost::leaf::new_error(drop_reason::unknown_version);
    }
    BOOST_LEAF_AUTO(body, body_of(read));
    return peer_envelope{
        .sender = {read.sender()}, .sequence = read.sequence(), .body = std::move(body)};
}

void encode_peer(flatbuffers::FlatBufferBuilder& builder, const peer_envelope& envelope,
                 const peer_key& key, std::vector<std::byte>& out)
{
    builder.Clear();
    body_writer writer{.builder = builder};
    const auto body = std::visit(writer, envelope.body);
    const auto root =
        wire::CreatePeerMessage(builder, peer_version, envelope.sender.value,
                                envelope.sequence, writer.type, body);
    wire::FinishPeerMessageBuffer(builder, root);
    seal(std::as_bytes(std::span(builder.GetBufferPointer(), builder.GetSize())), key,
         out);
}

} // namespace kumquatpath
