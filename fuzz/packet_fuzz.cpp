/// \file
/// Fuzzes everything that arrives from a network in a codec of ours: packets of callers
/// and targets, and messages between instances. What reads must survive being written and
/// read again; what does not read must cost nothing but its count.

#include "runner.hpp"

#include <kumquatpath/edge/packet_codec.hpp>
#include <kumquatpath/edge/peer_codec.hpp>

#include <sodium.h>

#include <iostream>

namespace
{

using namespace kumquatpath;
using fuzz::require;

constexpr peer_key key{1, 2, 3};
constexpr std::size_t hash_size = 16;

std::uint64_t read_packets = 0;
std::uint64_t read_messages = 0;

void feed_packet(payload_view bytes)
{
    const auto read = decode_packet(bytes);
    if (!read)
    {
        return;
    }
    ++read_packets;
    flatbuffers::FlatBufferBuilder builder;
    const auto again = decode_packet(encode_packet(builder, read->header, read->payload));
    require(again.has_value(), "a packet that was read can be written and read");
    require(again->header.flow == read->header.flow, "a packet keeps its flow");
    require(again->header.return_path == read->header.return_path,
            "a packet keeps its return path");
    require(again->payload.size() == read->payload.size(), "a packet keeps its payload");
}

/// Returns \p bytes behind their keyed hash, so that they reach the parser.
std::vector<std::byte> signed_message(payload_view bytes)
{
    std::vector<std::byte> message(hash_size);
    crypto_generichash(reinterpret_cast<unsigned char*>(message.data()), hash_size,
                       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                       key.data(), key.size());
    message.insert(message.end(), bytes.begin(), bytes.end());
    return message;
}

void feed_message(payload_view bytes)
{
    const auto message = signed_message(bytes);
    const auto read = decode_peer(message, key, longest_peer_datagram);
    if (!read)
    {
        return;
    }
    ++read_messages;
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> written;
    encode_peer(builder, *read, key, written);
    const auto again = decode_peer(written, key, longest_peer_frame);
    require(again.has_value(), "a message that was read can be written and read");
    require(again->body.index() == read->body.index(), "a message keeps its kind");
}

std::string text_of(payload_view bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Returns the encoding of \p body without its keyed hash.
std::string unsigned_message(const peer_body& body)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> message;
    encode_peer(builder, {.sender = {7}, .sequence = 8, .body = body}, key, message);
    return text_of(payload_view(message).subspan(hash_size));
}

std::string some_packet()
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<std::byte> payload(16, std::byte{9});
    const packet_header header{.kind = packet_kind::data,
                               .repeatable = true,
                               .service = {1},
                               .tenant = {2},
                               .traffic_class = {3},
                               .flow = {4},
                               .request = {5},
                               .return_path = {.address = 0x7f000001, .port = 6}};
    return text_of(encode_packet(builder, header, payload));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto bytes = std::as_bytes(std::span(data, size));
    feed_packet(bytes);
    feed_message(bytes);
    // The hash in front is refused as well, whatever the bytes are.
    require(!decode_peer(bytes, key, longest_peer_datagram).has_value(),
            "no message is heard without its hash");
    return 0;
}

#ifndef KUMQUATPATH_LIBFUZZER
int main(int argc, char** argv)
{
    const submission_key submission{.service = {1}, .flow = {2}, .request = {3}};
    const kumquatpath::fuzz::corpus from = {
        .inputs = {some_packet(),
                   unsigned_message(peer_message(heartbeat{
                       .members = {{.instance = {1}}}, .usages = {{.service = {1}}}})),
                   unsigned_message(peer_message(flow_hint{.flow = {1}})),
                   unsigned_message(peer_message(flow_query{.flow = {1}})),
                   unsigned_message(
                       peer_message(flow_listing{.entries = {{.flow = {1}}}})),
                   unsigned_message(peer_message(listing_request{.group = 1})),
                   unsigned_message(peer_message(claim{.key = submission})),
                   unsigned_message(peer_message(claim_reply{.key = submission})),
                   unsigned_message(peer_message(roster_news{.holders = {{1}}})),
                   unsigned_message(configuration_request{{1}}),
                   unsigned_message(configuration_reply{.envelope = "{}",
                                                        .members = {{.instance = {1}}}})},
        .dictionary = {"KQP1", "KQM1", "\xff\xff\xff\xff",
                       std::string_view("\0\0\0\0", 4)}};
    const int code = kumquatpath::fuzz::run(argc, argv, from);
    std::cout << read_packets << " read as packets, " << read_messages
              << " read as messages\n";
    return code;
}
#endif
