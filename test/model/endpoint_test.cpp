/// \file
/// Tests of parsing, formatting and packing endpoints.

#include <kumquatpath/model/endpoint.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(endpoint){};

TEST(endpoint, round_trips_through_text)
{
    const auto parsed = parse_endpoint("127.0.0.9:8080");

    CHECK_TRUE(parsed.has_value());
    STRCMP_EQUAL("127.0.0.9:8080", to_string(*parsed).c_str());
}

TEST(endpoint, rejects_text_that_is_not_an_address_with_a_port)
{
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:0", "256.0.0.1:1", "1.2.3:4",
                             "1.2.3.4:70000", "1.2.3.4:5x", "localhost:80"})
    {
        CHECK_FALSE_TEXT(parse_endpoint(text).has_value(), text);
    }
}

TEST(endpoint, unpacking_reverses_packing)
{
    const endpoint value{.address = 0x7f000203, .port = 65535};
    CHECK_TRUE(unpack_endpoint(pack(value)) == value);
}
