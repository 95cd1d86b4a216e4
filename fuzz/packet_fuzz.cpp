/// \file
/// Fuzzes everything that arrives from a network in a codec of ours: packets of both
/// forms, and messages between instances. What reads must survive being written and read
/// again; what does not read must cost nothing but its count.

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
constexpr std::size_t hash_size = 16;

std::uint64_t read_packets = 0;
std::uint64_t read_messages = 0;

/// Reads \p bytes as a packet and, if they are one, writes what they become.
void feed_packet(const packet_format& format, byte_view bytes)
{
    const received_packet packet{.datagram = bytes,
                                 .source = {.address = 0x7f000001, .port = 9}};
    const auto read = format.read(packet);
    if (!read)
    {
        return;
    }
    ++read_packets;
    std::array<std::byte, max_forwarded_packet_bytes> out{};
    const std::size_t size = format.write_forward(packet, {.key = {7}}, {8}, out);
    require(size <= out.size(), "a packet that is passed on fits");
    endpoint to;
    const std::size_t refusal = format.write_refusal(packet, out, to);
    require(refusal > 0 && refusal <= out.size(), "a refusal can be written");
}

std::string text_of(byte_view bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

void feed_message(byte_view bytes)
{
    std::vector<std::byte> message;
    append_with_mac(bytes, key, message);
    const auto read = decode_fleet_message(message, key, max_fleet_frame_bytes);
    if (!read)
    {
        return;
    }
    ++read_messages;
    const auto again = decode_fleet_message(encode_fleet_message(*read, key), key,
                                            max_fleet_frame_bytes);
    require(again.has_value(), "a message that was read can be written and read");
    require(again->body.index() == read->body.index(), "a message keeps its kind");
}

/// Returns the encoding of \p message without its keyed hash.
std::string unsealed(const fleet_message& message)
{
    return text_of(byte_view(encode_fleet_message(message, key)).subspan(hash_size));
}

std::string some_packet()
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
    static const native_packet_format own;
    static const platform::platform_packet_format other(8172);
    const auto bytes = std::as_bytes(std::span(data, size));
    feed_packet(own, bytes);
    feed_packet(other, bytes);
    feed_message(bytes);
    // The hash in front is refused as well, whatever the bytes are.
    require(!decode_fleet_message(bytes, key, max_fleet_datagram_bytes).has_value(),
            "no message is heard without its hash");
    return 0;
}

#ifndef KUMQUATPATH_LIBFUZZER
int main(int argc, char** argv)
{
    const fleet_heartbeat beat{.incarnation = 1, .members = {{.instance = {4}}}};
    const state_reply reply{
        .targets = {{.key = {1}, .revision = {2}, .record = target_record{.key = {1}}}},
        .configuration_text = "{}"};
    const kumquatpath::fuzz::corpus from = {
        .inputs = {some_packet(), std::string(28, '\1') + std::string("\x20\0\0\0", 4),
                   std::string(28, '\2') + std::string("\1\0\0\3abc", 7),
                   unsealed({.sender = {1}, .sequence = 2, .body = beat}),
                   unsealed({.sender = {1}, .body = state_request{.position = {3}}}),
                   unsealed({.sender = {1}, .body = reply})},
        .dictionary = {"KQP1", "\xff\xff\xff\xff", std::string_view("\0\0\0\0", 4)}};
    const int code = kumquatpath::fuzz::run(argc, argv, from);
    std::cout << read_packets << " read as packets, " << read_messages
              << " read as messages\n";
    return code;
}
#endif
