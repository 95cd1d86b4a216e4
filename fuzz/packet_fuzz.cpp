/// \file
/// Fuzzes the decoders of data from the network: packets of callers in the native format
/// and in the platform's format, and messages between instances. An accepted packet must
/// be writable as a forwarded packet and as a refusal. An accepted message must stay
/// decodable and of the same type after it is encoded again. A rejected input must have
/// no effect; the daemon only counts it.

#include "runner.hpp"

#include <kumquatpath/edge/fleet_codec.hpp>
#include <kumquatpath/edge/native_packet_format.hpp>
#include <kumquatpath/edge/packet_codec.hpp>

#include <platform/packet_header.hpp>

#include <array>
#include <iostream>

namespace
{

using namespace kumquatpath;
using fuzz::require;

constexpr peer_key key{1, 2, 3};
constexpr std::size_t mac_size = 16;

std::uint64_t accepted_packets = 0;
std::uint64_t accepted_messages = 0;

/// Parses \p bytes as a packet. If they are accepted, writes the forwarded packet and the
/// refusal.
void fuzz_packet(const packet_format& format, byte_view bytes)
{
    const received_packet packet{.datagram = bytes,
                                 .source = {.address = 0x7f000001, .port = 9}};
    const auto read = format.read(packet);
    if (!read)
    {
        return;
    }
    ++accepted_packets;
    std::array<std::byte, max_forwarded_packet_bytes> out{};
    const std::size_t size = format.write_forward(packet, {.key = {7}}, {8}, out);
    require(size <= out.size(), "a forwarded packet fits into the output buffer");
    endpoint destination;
    const std::size_t refusal_size = format.write_refusal(packet, out, destination);
    require(refusal_size > 0 && refusal_size <= out.size(),
            "a refusal is not empty and fits into the output buffer");
}

std::string text_of(byte_view bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Decodes \p bytes, preceded by a valid MAC, as a message. If they are accepted, encodes
/// and decodes the message again.
void fuzz_message(byte_view bytes)
{
    std::vector<std::byte> message;
    append_with_mac(bytes, key, message);
    const auto decoded = decode_fleet_message(message, key, max_fleet_frame_bytes);
    if (!decoded)
    {
        return;
    }
    ++accepted_messages;
    const auto round_tripped = decode_fleet_message(encode_fleet_message(*decoded, key),
                                                    key, max_fleet_frame_bytes);
    require(round_tripped.has_value(),
            "an accepted message can be encoded and decoded again");
    require(round_tripped->body.index() == decoded->body.index(),
            "a message keeps its type when it is encoded again");
}

/// Returns the encoding of \p message without its MAC, as fuzz_message() takes it.
std::string encode_without_mac(const fleet_message& message)
{
    return text_of(byte_view(encode_fleet_message(message, key)).subspan(mac_size));
}

std::string sample_packet()
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::byte> payload(16, std::byte{9});
    const packet_header header{.kind = packet_kind::data,
                               .repeatable = true,
                               .token = {6},
                               .service = {1},
                               .flow = {4},
                               .request = {5}};
    return text_of(encode_packet(builder, header, payload));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const native_packet_format native_format;
    static const platform::platform_packet_format platform_format(8172);
    const auto bytes = std::as_bytes(std::span(data, size));
    fuzz_packet(native_format, bytes);
    fuzz_packet(platform_format, bytes);
    fuzz_message(bytes);
    // Without a valid MAC, a message is rejected whatever its content.
    require(!decode_fleet_message(bytes, key, max_fleet_datagram_bytes).has_value(),
            "a message without a valid MAC is rejected");
    return 0;
}

#ifndef KUMQUATPATH_LIBFUZZER
int main(int argc, char** argv)
{
    const fleet_heartbeat heartbeat{.incarnation = 1, .members = {{.instance = {4}}}};
    const state_reply reply{
        .update = {.targets = {{.key = {1},
                                .revision = {2},
                                .record = target_record{.key = {1}}}},
                   .evacuations = {{.data_centre = {1}, .name = "a"}}},
        .configuration_text = "{}"};
    // The second and third input are in the platform's format: a header with the SYN
    // flag, and a header with the ACK flag and a payload of three bytes.
    const kumquatpath::fuzz::corpus seed_corpus = {
        .inputs = {sample_packet(), std::string(28, '\1') + std::string("\x20\0\0\0", 4),
                   std::string(28, '\2') + std::string("\1\0\0\3abc", 7),
                   encode_without_mac({.sender = {1}, .sequence = 2, .body = heartbeat}),
                   encode_without_mac(
                       {.sender = {1}, .body = state_request{.position = {3}}}),
                   encode_without_mac({.sender = {1}, .body = reply})},
        .dictionary = {"KQP1", "\xff\xff\xff\xff", std::string_view("\0\0\0\0", 4)}};
    const int exit_code = kumquatpath::fuzz::run(argc, argv, seed_corpus);
    std::cout << accepted_packets << " read as packets, " << accepted_messages
              << " read as messages\n";
    return exit_code;
}
#endif
