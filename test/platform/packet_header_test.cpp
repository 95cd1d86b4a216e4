/// \file
/// Tests of the platform's packet format: which packets are read and which are rejected,
/// what forwarding changes, and what a refusal contains.

#include <platform/packet_header.hpp>

#include <cstring>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::platform;
using namespace std::chrono_literals;

TEST_GROUP(packet_header)
{
    platform_packet_format format{8172};
    /// An opening (SYN alone) from 100.64.0.7:40001 to 198.18.0.1:443.
    std::vector<unsigned char> opening = {0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5,
                                          0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01,
                                          0x64, 0x40, 0x00, 0x07, 0x11, 0x22, 0x33, 0x44,
                                          0x00, 0x00, 0x00, 0x00, 0x20, 0x00, 0x00, 0x00};

    received_packet as_packet(std::span<const unsigned char> bytes)
    {
        return {.datagram = std::as_bytes(bytes)};
    }

    std::vector<unsigned char> packet_with_flags(unsigned char flags)
    {
        auto packet = opening;
        packet[28] = flags;
        return packet;
    }
};

TEST(packet_header, an_opening_is_read)
{
    const auto packet = format.read(as_packet(opening));
    CHECK_TRUE(packet.has_value());
    CHECK_TRUE(packet->is_opening);
    CHECK_TRUE(packet->age == 0ms);
    UNSIGNED_LONGS_EQUAL(0x64400007, packet->caller.address);
    UNSIGNED_LONGS_EQUAL(40001, packet->caller.port);
    UNSIGNED_LONGS_EQUAL(0xc6120001, packet->listener.address);
    UNSIGNED_LONGS_EQUAL(443, packet->listener.port);
    UNSIGNED_LONGS_EQUAL(0, packet->token.value);
}

TEST(packet_header, a_payload_is_read_with_its_position_in_the_flow)
{
    auto packet = packet_with_flags(1);
    CHECK_FALSE(format.read(as_packet(packet))->payload_position.has_value());
    packet[31] = 2;
    packet.resize(packet.size() + 2);
    UNSIGNED_LONGS_EQUAL(0x11223344, *format.read(as_packet(packet))->payload_position);
}

TEST(packet_header, a_retransmitted_opening_reports_its_age)
{
    auto retransmission = opening;
    retransmission[27] = 1;
    CHECK_TRUE(format.read(as_packet(retransmission))->age == 200ms);
    retransmission[27] = 2;
    CHECK_TRUE(format.read(as_packet(retransmission))->age == 600ms);
    retransmission[27] = 200;
    CHECK_TRUE(format.read(as_packet(retransmission))->age == 600ms);
}

TEST(packet_header, forwarding_changes_only_the_token)
{
    auto data = packet_with_flags(1);
    data[30] = 0;
    data[31] = 3;
    data.insert(data.end(), {'a', 'b', 'c'});
    std::vector<std::byte> out(max_forwarded_packet_bytes);
    const std::size_t size =
        format.write_forward(as_packet(data), {.key = {0x7f3a91c2}}, {0x01020304}, out);
    UNSIGNED_LONGS_EQUAL(8 + data.size(), size);
    const unsigned char target_key[] = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
    MEMCMP_EQUAL(target_key, out.data(), sizeof target_key);
    const unsigned char token[] = {1, 2, 3, 4};
    MEMCMP_EQUAL(token, out.data() + 8, sizeof token);
    MEMCMP_EQUAL(data.data() + 4, out.data() + 12, data.size() - 4);
}

TEST(packet_header, packets_that_a_caller_may_not_send_are_rejected)
{
    for (const unsigned char flags :
         std::initializer_list<unsigned char>{0x00, 0x21, 0x60, 0x30, 0x80, 0x81, 0x02})
    {
        CHECK_FALSE(format.read(as_packet(packet_with_flags(flags))).has_value());
    }
    for (const unsigned char flags :
         std::initializer_list<unsigned char>{0x01, 0x41, 0x40, 0x10, 0x11})
    {
        CHECK_TRUE(format.read(as_packet(packet_with_flags(flags))).has_value());
    }
}

TEST(packet_header, a_length_field_that_does_not_match_the_payload_is_rejected)
{
    auto packet = packet_with_flags(1);
    packet[31] = 1;
    CHECK_FALSE(format.read(as_packet(packet)).has_value());
    packet.push_back('a');
    CHECK_TRUE(format.read(as_packet(packet)).has_value());
    packet.push_back('b');
    CHECK_FALSE(format.read(as_packet(packet)).has_value());
}

TEST(packet_header, datagrams_that_are_too_short_or_too_long_are_rejected)
{
    for (std::size_t size = 0; size < opening.size(); ++size)
    {
        CHECK_FALSE(
            format.read(as_packet(std::span<const unsigned char>(opening).first(size)))
                .has_value());
    }
    auto packet = packet_with_flags(1);
    packet.resize(32 + 1201);
    packet[30] = 1201 >> 8;
    packet[31] = 1201 & 0xff;
    CHECK_FALSE(format.read(as_packet(packet)).has_value());
}

TEST(packet_header, packets_that_end_a_flow_are_recognised)
{
    CHECK_TRUE(format.read(as_packet(packet_with_flags(0x41)))->is_end);
    CHECK_TRUE(format.read(as_packet(packet_with_flags(0x10)))->is_end);
    CHECK_FALSE(format.read(as_packet(packet_with_flags(0x01)))->is_end);
}

TEST(packet_header, a_refusal_is_a_reset_from_the_listener_to_the_caller)
{
    std::vector<std::byte> out(max_forwarded_packet_bytes);
    endpoint destination;
    const std::size_t size = format.write_refusal(as_packet(opening), out, destination);
    const std::vector<unsigned char> expected = {
        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c,
        0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x00, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00};
    UNSIGNED_LONGS_EQUAL(expected.size(), size);
    MEMCMP_EQUAL(expected.data(), out.data(), expected.size());
    UNSIGNED_LONGS_EQUAL(0x64400007, destination.address);
    UNSIGNED_LONGS_EQUAL(8172, destination.port);
}
