/// \file
/// The encoding of messages between entry instances: decoding restores the encoded
/// message and rejects messages with a wrong key, damaged bytes or missing bytes.

#include <kumquatpath/edge/fleet_codec.hpp>

#include <fleet_generated.h>

#include <array>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(fleet_codec)
{
    peer_key key{1, 2, 3};

    fleet_message encode_and_decode(const fleet_message& message)
    {
        const auto bytes = encode_fleet_message(message, key);
        auto decoded = decode_fleet_message(bytes, key, max_fleet_frame_bytes);
        CHECK_TRUE(static_cast<bool>(decoded));
        return *decoded;
    }
};

TEST(fleet_codec, a_decoded_heartbeat_equals_the_encoded_one)
{
    const fleet_heartbeat heartbeat{
        .incarnation = 9,
        .address = {.address = 0x0a010203, .port = 7000},
        .data_centre = {4},
        .is_leaving = true,
        .position = {88, {3}},
        .configuration = {.revision = {77, {2}}, .generation = {12}},
        .age = std::chrono::milliseconds(120),
        .read_by = {6},
        .members = {{.instance = {8}, .data_centre = {2}}}};
    const fleet_message decoded =
        encode_and_decode({.sender = {1}, .sequence = 2, .body = heartbeat});
    const auto& body = std::get<fleet_heartbeat>(decoded.body);
    UNSIGNED_LONGS_EQUAL(1, decoded.sender.value);
    UNSIGNED_LONGS_EQUAL(2, decoded.sequence);
    CHECK_TRUE(body.address == heartbeat.address);
    CHECK_TRUE(body.is_leaving);
    UNSIGNED_LONGS_EQUAL(88, body.position.value);
    CHECK_TRUE(body.position == heartbeat.position);
    CHECK_TRUE(body.configuration == heartbeat.configuration);
    UNSIGNED_LONGS_EQUAL(120, body.age.count());
    UNSIGNED_LONGS_EQUAL(8, body.members.at(0).instance.value);
}

TEST(fleet_codec, evidence_about_targets_survives_with_its_age_in_steps_of_its_kind)
{
    const fleet_heartbeat heartbeat{
        .evidence = {
            {.target = {0xabcd},
             .incarnation = 0xfedc,
             .kind = evidence_kind::quick_answers,
             .level = 3,
             .age = std::chrono::milliseconds(1290)},
            {.kind = evidence_kind::speed,
             .level = -115,
             .age = std::chrono::milliseconds(90'000)},
            {.kind = evidence_kind::speed, .age = std::chrono::milliseconds(19'900)},
            {.kind = evidence_kind::unanswered,
             .age = std::chrono::milliseconds(90'000)}}};
    const fleet_message decoded = encode_and_decode({.sender = {1}, .body = heartbeat});
    const auto& evidence = std::get<fleet_heartbeat>(decoded.body).evidence;
    UNSIGNED_LONGS_EQUAL(4, evidence.size());
    UNSIGNED_LONGS_EQUAL(0xabcd, evidence[0].target.value);
    UNSIGNED_LONGS_EQUAL(0xfedc, evidence[0].incarnation);
    CHECK_TRUE(evidence[0].kind == evidence_kind::quick_answers);
    LONGS_EQUAL(3, evidence[0].level);
    LONGS_EQUAL(1200, evidence[0].age.count());
    CHECK_TRUE(evidence[1].kind == evidence_kind::speed);
    LONGS_EQUAL(-115, evidence[1].level);
    LONGS_EQUAL(25'200, evidence[1].age.count());
    LONGS_EQUAL(19'600, evidence[2].age.count());
    LONGS_EQUAL(6300, evidence[3].age.count());
}

TEST(fleet_codec, evidence_costs_a_large_fleet_a_few_hundred_bytes_a_second)
{
    // An instance of a large fleet sends 20 local heartbeats a second.
    const auto bytes_of = [&](std::size_t members, std::size_t entries)
    {
        fleet_heartbeat heartbeat{.incarnation = 9,
                                  .address = {.address = 0x0a010203, .port = 7000},
                                  .data_centre = {4},
                                  .position = {88},
                                  .configuration = {77},
                                  .age = std::chrono::milliseconds(120),
                                  .read_by = {6}};
        heartbeat.members.resize(members);
        heartbeat.evidence.resize(entries);
        return encode_fleet_message({.sender = {1}, .sequence = 2, .body = heartbeat},
                                    key)
            .size();
    };
    const std::size_t added = bytes_of(3, 2) - bytes_of(3, 0);
    CHECK_TRUE_TEXT(20 * added <= 600, std::to_string(added).c_str());
    CHECK_TRUE(bytes_of(8, 6) <= max_fleet_datagram_bytes);
}

TEST(fleet_codec, a_decoded_state_reply_keeps_targets_and_configuration_text)
{
    const target_record record{.key = {0xabc},
                               .service = {3},
                               .address = {.address = 1, .port = 2},
                               .data_centre = {4},
                               .slots = 5,
                               .is_draining = true,
                               .warm_up_left = std::chrono::milliseconds(70),
                               .incarnation = 1766000000000,
                               .sequence = 41};
    const state_reply reply{
        .update = {.position = {10, {5}},
                   .complete_from = {6, {4}},
                   .is_whole = true,
                   .targets = {{.key = {0xabc}, .revision = {9, {3}}, .record = record},
                               {.key = {0xdef}, .revision = {8}, .is_gone = true},
                               {.key = {0x123},
                                .revision = {7},
                                .is_gone = true,
                                .is_unusable = true}},
                   .evacuations = {{.data_centre = {5},
                                    .name = "north",
                                    .revision = {7, {2}},
                                    .is_withdrawn = true}}},
        .configuration = {.revision = {7, {1}}, .generation = {8}},
        .written = {6, {1}},
        .configuration_text = "a text"};
    const fleet_message decoded = encode_and_decode({.sender = {1}, .body = reply});
    const auto& body = std::get<state_reply>(decoded.body);
    CHECK_TRUE(body.update.targets.at(0).record == record);
    CHECK_FALSE(body.update.targets.at(0).is_gone);
    CHECK_FALSE(body.update.targets.at(1).record.has_value());
    CHECK_TRUE(body.update.targets.at(1).is_gone);
    CHECK_FALSE(body.update.targets.at(1).is_unusable);
    CHECK_TRUE(body.update.targets.at(2).is_unusable);
    CHECK_TRUE(body.update.position == reply.update.position);
    CHECK_TRUE(body.update.complete_from == reply.update.complete_from);
    CHECK_TRUE(body.update.targets.at(0).revision == reply.update.targets.at(0).revision);
    CHECK_TRUE(body.configuration == reply.configuration);
    CHECK_TRUE(body.written == reply.written);
    CHECK_TRUE(body.update.is_whole);
    CHECK_TRUE(body.update.evacuations.at(0).data_centre == data_centre_id{5});
    STRCMP_EQUAL("north", body.update.evacuations.at(0).name.c_str());
    CHECK_TRUE(body.update.evacuations.at(0).revision == (state_revision{7, {2}}));
    CHECK_TRUE(body.update.evacuations.at(0).is_withdrawn);
    STRCMP_EQUAL("a text", body.configuration_text.c_str());
}

TEST(fleet_codec, a_decoded_flow_notice_equals_the_encoded_one)
{
    const fleet_message decoded = encode_and_decode(
        {.sender = {3}, .body = flow_notice{.flow = {0xabcdef}, .target = {77}}});
    const auto& body = std::get<flow_notice>(decoded.body);
    UNSIGNED_LONGS_EQUAL(0xabcdef, body.flow.value);
    UNSIGNED_LONGS_EQUAL(77, body.target.value);
}

TEST(fleet_codec, a_decoded_state_request_keeps_its_eras)
{
    const state_request request{
        .position = {10, {2}},
        .configuration = {.revision = {7, {1}}, .generation = {8}},
        .accepts_compressed_text = true};
    const fleet_message decoded = encode_and_decode({.sender = {1}, .body = request});
    const auto& body = std::get<state_request>(decoded.body);
    CHECK_TRUE(body.position == request.position);
    CHECK_TRUE(body.configuration == request.configuration);
    CHECK_TRUE(body.accepts_compressed_text);
}

TEST(fleet_codec, a_strange_name_of_an_evacuated_data_centre_is_dropped)
{
    for (const std::string& name :
         {std::string("a\"b"), std::string("a\nb"), std::string(200, 'z')})
    {
        const state_reply reply{
            .update = {
                .evacuations = {{.data_centre = {5}, .name = name, .revision = {7}}}}};
        const fleet_message decoded = encode_and_decode({.sender = {1}, .body = reply});
        const auto& body = std::get<state_reply>(decoded.body);
        CHECK_TRUE(body.update.evacuations.at(0).data_centre == data_centre_id{5});
        STRCMP_EQUAL("", body.update.evacuations.at(0).name.c_str());
    }
}

namespace
{

/// Encodes a state reply as releases did that did not know its completeness.
std::vector<std::byte> encode_older_reply(const peer_key& key, std::uint8_t version)
{
    flatbuffers::FlatBufferBuilder out;
    const auto targets =
        out.CreateVector(std::vector<flatbuffers::Offset<wire::TargetChange>>());
    wire::StateReplyBuilder reply(out);
    reply.add_position(10);
    reply.add_targets(targets);
    reply.add_configuration(3);
    const auto body = reply.Finish().Union();
    wire::FinishFleetMessageBuffer(
        out,
        wire::CreateFleetMessage(out, version, 1, 0, wire::FleetBody::StateReply, body));
    std::vector<std::byte> bytes;
    append_with_mac(std::as_bytes(std::span(out.GetBufferPointer(), out.GetSize())), key,
                    bytes);
    return bytes;
}

} // namespace

TEST(fleet_codec, a_reply_of_an_older_release_has_unknown_completeness)
{
    const auto decoded = decode_fleet_message(
        encode_older_reply(key, fleet_message_version), key, max_fleet_frame_bytes);
    CHECK_TRUE(static_cast<bool>(decoded));
    const state_update& update = std::get<state_reply>(decoded->body).update;
    UNSIGNED_LONGS_EQUAL(10, update.position.value);
    CHECK_TRUE(update.complete_from == unknown_completeness);
    CHECK_FALSE(update.is_whole);
    CHECK_TRUE(update.evacuations.empty());
}

// Instances of both releases run at the same time, so the version must not change.
TEST(fleet_codec, the_version_is_1_and_other_versions_are_rejected)
{
    UNSIGNED_LONGS_EQUAL(1, fleet_message_version);
    for (const std::uint8_t version : std::array<std::uint8_t, 3>{0, 2, 255})
    {
        CHECK_FALSE(static_cast<bool>(decode_fleet_message(
            encode_older_reply(key, version), key, max_fleet_frame_bytes)));
    }
}

TEST(fleet_codec, rejects_a_message_authenticated_with_another_key)
{
    const auto bytes =
        encode_fleet_message({.sender = {1}, .body = state_request{}}, key);
    CHECK_FALSE(static_cast<bool>(
        decode_fleet_message(bytes, peer_key{9}, max_fleet_frame_bytes)));
}

TEST(fleet_codec, rejects_every_damaged_byte_and_every_truncation)
{
    const auto bytes =
        encode_fleet_message({.sender = {1}, .body = fleet_heartbeat{}}, key);
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        auto damaged = bytes;
        damaged[i] ^= std::byte{1};
        CHECK_FALSE(
            static_cast<bool>(decode_fleet_message(damaged, key, max_fleet_frame_bytes)));
        const byte_view truncated(bytes.data(), i);
        CHECK_FALSE(static_cast<bool>(
            decode_fleet_message(truncated, key, max_fleet_frame_bytes)));
    }
}
