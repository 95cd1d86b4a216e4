/// \file
/// What the instances tell, put together.

#include "client/fleet.hpp"

#include <support/canned_server.hpp>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;

namespace
{

instance_status status(const char* name, const std::string& page)
{
    instance_status read{.address = {.address = 0x7f000001, .port = 9102},
                         .report = read_report(page)};
    if (read.report)
    {
        read.report->name = name;
    }
    return read;
}

std::string page_of(const std::string& name, const std::string& generation,
                    const std::string& peers)
{
    return R"({"instance":")" + name + R"(","generation":)" + generation +
           R"(,"data_centre":"north","state_age_ms":40,"ready":true,"leaving":false,)" +
           R"("flows":12,"targets":3,"suspects":1,"peers":[)" + peers + "]}";
}

} // namespace

TEST_GROUP(fleet)
{
    std::vector<instance_status> statuses = {
        status("one", page_of("one", "7", "")), status("two", page_of("two", "6", "")),
        status("three", ""), status("four", R"(["?"])")};
};

TEST(fleet, progress_tells_apart_who_is_behind_and_who_was_not_reached)
{
    const auto progress = progress_of(statuses, {7});

    LONGS_EQUAL(1, progress.in_force);
    LONGS_EQUAL(1, progress.behind.size());
    STRCMP_EQUAL("two", progress.behind[0].c_str());
    LONGS_EQUAL(2, progress.unreachable.size());
    CHECK_FALSE(is_complete(progress));
    CHECK_TRUE(is_complete(progress_of(statuses, {6})));
}

TEST(fleet, nobody_reached_is_not_in_force)
{
    CHECK_FALSE(is_complete(progress_of({}, {1})));
}

TEST(fleet, the_table_shows_state_and_who_is_behind)
{
    std::ostringstream out;
    print_status(out, statuses, {7}, false);

    STRCMP_CONTAINS("ready", out.str().c_str());
    STRCMP_CONTAINS("behind", out.str().c_str());
    STRCMP_CONTAINS("not reached", out.str().c_str());
}

TEST(fleet, one_instance_is_enough_to_find_its_peers)
{
    canned_server second({{http_text(200, page_of("second", "7", ""))}});
    const std::string peer = "\"" + to_string(second.address()) + "\"";
    canned_server first({{http_text(200, page_of("first", "7", peer))}});
    const auto found = ask_fleet({first.address()}, std::chrono::milliseconds(1000));
    LONGS_EQUAL(2, found.size());
    STRCMP_EQUAL("first", name_of(found[0]).c_str());
    STRCMP_EQUAL("second", name_of(found[1]).c_str());
}
