/// \file
/// The encoding of messages between instances, and what is refused of it.

#include <kumquatpath/edge/peer_codec.hpp>

#include <peer_generated.h>
#include <sodium.h>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(peer_codec)
{
    flatbuffers::FlatBufferBuilder builder;
    peer_key key{1, 2, 3};

    std::vector<std::byte> encoded(const peer_body& body)
    {
        std::vector<std::byte> out;
        encode_peer(builder, {.sender = {5}, .sequence = 6, .body = body}, key, out);
        return out;
    }
};

TEST(peer_codec, reads_back_a_heartbeat)
{
    const heartbeat sent{.generation = {3},
                         .switched = {2},
                         .members = {{.instance = {9},
                                      .incarnation = {4},
                                      .state = member_state::leaving,
                                      .data_centre = {8},
                                      .address = {.address = 1, .port = 2}}},
                         .usages = {{.service = {1}, .admitted = 2.5F}}};
    const auto read =
        decode_peer(encoded(peer_message(sent)), key, longest_peer_datagram);

    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(5, read->sender.value);
    const auto& received = std::get<heartbeat>(std::get<peer_message>(read->body));
    LONGS_EQUAL(3, received.generation.value);
    CHECK_TRUE(received.members.at(0).state == member_state::leaving);
    LONGS_EQUAL(2, received.members.at(0).address.port);
    DOUBLES_EQUAL(2.5, received.usages.at(0).admitted, 0);
}

TEST(peer_codec, reads_back_a_claim)
{
    const claim sent{.key = {.service = {1}, .flow = {2}, .request = {3}},
                     .coordinator = {4},
                     .decision = claim_decision::refuse,
                     .keep = std::chrono::milliseconds(500)};
    const auto read =
        decode_peer(encoded(peer_message(sent)), key, longest_peer_datagram);

    CHECK_TRUE(read.has_value());
    const auto& received = std::get<claim>(std::get<peer_message>(read->body));
    CHECK_TRUE(received.key == sent.key);
    CHECK_TRUE(received.decision == claim_decision::refuse);
    LONGS_EQUAL(500, received.keep.count());
}

TEST(peer_codec, refuses_a_message_under_another_key)
{
    const auto message = encoded(configuration_request{{1}});
    const peer_key other{7};
    CHECK_FALSE(decode_peer(message, other, longest_peer_datagram).has_value());
}

TEST(peer_codec, refuses_every_changed_byte)
{
    const auto message = encoded(configuration_request{{1}});
    for (std::size_t i = 0; i < message.size(); ++i)
    {
        auto changed = message;
        changed[i] ^= std::byte{1};
        CHECK_FALSE(decode_peer(changed, key, longest_peer_datagram).has_value());
    }
}

TEST(peer_codec, refuses_a_key_that_is_not_64_hexadecimal_digits)
{
    CHECK_FALSE(parse_peer_key("00ff").has_value());
    CHECK_TRUE(parse_peer_key(std::string(64, 'a')).has_value());
}

TEST(peer_codec, refuses_a_kind_whose_body_is_missing)
{
    wire::PeerMessageBuilder message(builder);
    message.add_version(peer_version);
    message.add_body_type(wire::PeerBody::Heartbeat);
    wire::FinishPeerMessageBuffer(builder, message.Finish());
    const auto bytes = std::span(builder.GetBufferPointer(), builder.GetSize());
    std::vector<std::byte> signed_bytes(16);
    crypto_generichash(reinterpret_cast<unsigned char*>(signed_bytes.data()), 16,
                       bytes.data(), bytes.size(), key.data(), key.size());
    const auto rest = std::as_bytes(bytes);
    signed_bytes.insert(signed_bytes.end(), rest.begin(), rest.end());

    CHECK_FALSE(decode_peer(signed_bytes, key, longest_peer_datagram).has_value());
}
