/// \file
/// The settings of an instance: read whole, or refused at the place that is wrong.

#include "src/daemon/settings.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

namespace
{

const std::string whole = R"({"name": "nairobi-1-a", "data_centre": "nairobi-1",
    "data_address": "127.1.0.1", "egress": "127.1.0.1:7800", "peer": "127.1.0.1:7900",
    "operators": "127.1.0.1:7901", "platform": "127.0.0.2:8500",
    "peer_key": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
    "peer_networks": ["127.1.0.0/16"], "seeds": {"nairobi-1-b": "127.1.0.2:7900"}})";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text = whole;
    return text.replace(text.find(from), from.size(), to);
}

/// Returns the pointer of the fault in \p text, or "read" if it has none.
std::string fault_in(const std::string& text)
{
    std::string pointer = "read";
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_CHECK(read_settings(text));
            return {};
        },
        [&](const settings_fault& fault) { pointer = fault.pointer; },
        [&] { pointer = "unknown failure"; });
    return pointer;
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, reads_a_whole_file)
{
    const auto settings = read_settings(whole);
    CHECK_TRUE(settings.has_value());
    STRCMP_EQUAL("127.1.0.1:7900", to_string(settings->peer).c_str());
    STRCMP_EQUAL("nairobi-1-b", settings->seeds.at(0).name.c_str());
    CHECK_TRUE(is_in(settings->peer_networks, 0x7f010203));
    CHECK_FALSE(is_in(settings->peer_networks, 0x7f020203));
}

TEST(settings, names_the_place_of_a_fault)
{
    STRCMP_EQUAL("", fault_in("[]").c_str());
    STRCMP_EQUAL("/peer_key", fault_in(replaced("0011", "zz11")).c_str());
    STRCMP_EQUAL("/peer", fault_in(replaced("127.1.0.1:7900", "7900")).c_str());
    STRCMP_EQUAL("/peer_networks", fault_in(replaced("/16", "/40")).c_str());
    STRCMP_EQUAL("/platfrom", fault_in(replaced("platform", "platfrom")).c_str());
}
