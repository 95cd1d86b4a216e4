/// \file
/// The encoding of packets: decoding restores the encoded packet and rejects truncated
/// packets and payloads that are too long.

#include <kumquatpath/edge/packet_codec.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

namespace
{

packet_header sample_header()
{
    return {.kind = packet_kind::data,
            .repeatable = true,
            .service = {7},
            .tenant = {8},
            .traffic_class = {9},
            .flow = {10},
            .request = {11},
            .deadline = std::chrono::microseconds(1200),
            .return_path = {.address = 0x7f000001, .port = 4000}};
}

/// Returns why \p datagram is rejected, or nothing if it is decoded.
std::optional<decode_failure> decode_failure_of(byte_view datagram)
{
    std::optional<decode_failure> failure;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_CHECK(decode_packet(datagram));
            return {};
        },
        [&](decode_failure reason) { failure = reason; }, [] {});
    return failure;
}

} // namespace

TEST_GROUP(packet_codec)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> datagram;

    void setup() override
    {
        const std::vector<std::byte> payload(32, std::byte{5});
        const auto bytes = encode_packet(builder, sample_header(), payload);
        datagram.assign(bytes.begin(), bytes.end());
    }
};

TEST(packet_codec, decodes_what_was_encoded)
{
    const auto decoded = decode_packet(datagram);

    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(11, decoded->header.request.value);
    LONGS_EQUAL(1200, decoded->header.deadline.count());
    LONGS_EQUAL(4000, decoded->header.return_path.port);
    CHECK_TRUE(decoded->header.repeatable);
    LONGS_EQUAL(32, decoded->payload.size());
}

TEST(packet_codec, rejects_every_truncation)
{
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        const std::vector<std::byte> truncated(
            datagram.begin(), datagram.begin() + static_cast<long>(size));
        CHECK_TRUE(decode_failure_of(truncated) == decode_failure::malformed);
    }
}

TEST(packet_codec, rejects_an_oversized_payload)
{
    const std::vector<std::byte> payload(max_payload_bytes + 1);
    CHECK_TRUE(decode_failure_of(encode_packet(builder, sample_header(), payload)) ==
               decode_failure::malformed);
}
