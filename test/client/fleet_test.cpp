/// \file
/// Collecting the status of the instances, and printing it.

#include "client/fleet.hpp"

#include <support/canned_server.hpp>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;

namespace
{

instance_status make_status(const char* name, const std::string& page)
{
    instance_status status{.address = {.address = 0x7f000001, .port = 9102},
                           .report = parse_report(page)};
    if (status.report)
    {
        status.report->name = name;
    }
    return status;
}

std::string status_page(const std::string& name, const std::string& generation,
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
        make_status("one", status_page("one", "7", "")),
        make_status("two", status_page("two", "6", "")), make_status("three", ""),
        make_status("four", R"(["?"])")};
};

TEST(fleet, progress_distinguishes_instances_behind_from_unreachable_ones)
{
    const auto progress = progress_of(statuses, {7});

    LONGS_EQUAL(1, progress.in_force);
    LONGS_EQUAL(1, progress.behind.size());
    STRCMP_EQUAL("two", progress.behind[0].c_str());
    LONGS_EQUAL(2, progress.unreachable.size());
    CHECK_FALSE(is_complete(progress));
    CHECK_TRUE(is_complete(progress_of(statuses, {6})));
}

TEST(fleet, a_generation_is_not_in_force_if_no_instance_responds)
{
    CHECK_FALSE(is_complete(progress_of({}, {1})));
}

// A submission that was acknowledged and then lost must not be shown as in force.
TEST(fleet, a_generation_that_the_store_has_lost_is_not_in_force)
{
    statuses[0].report->is_ahead_of_store = true;
    const auto progress = progress_of(statuses, {7});
    LONGS_EQUAL(0, progress.in_force);
    STRCMP_EQUAL("one", progress.not_stored.at(0).c_str());
    CHECK_FALSE(is_complete(progress_of(statuses, {6})));
    std::ostringstream progress_text;
    print_progress(progress_text, progress, {7});
    STRCMP_CONTAINS("Submit the configuration again", progress_text.str().c_str());
    std::ostringstream status_text;
    print_status(status_text, statuses, {7}, false);
    STRCMP_CONTAINS("generation 7 is in force on 1 of 4 instances but lost in the store",
                    status_text.str().c_str());
}

TEST(fleet, a_report_tells_whether_the_store_has_lost_the_generation)
{
    const auto report =
        parse_report(R"({"generation":7,"configuration_ahead_of_store":true})");
    CHECK_TRUE(report->is_ahead_of_store);
    CHECK_FALSE(parse_report(R"({"generation":7})")->is_ahead_of_store);
}

TEST(fleet, the_table_shows_the_state_and_which_instances_are_behind)
{
    std::ostringstream out;
    print_status(out, statuses, {7}, false);

    STRCMP_CONTAINS("ready", out.str().c_str());
    STRCMP_CONTAINS("behind", out.str().c_str());
    STRCMP_CONTAINS("not reached", out.str().c_str());
}

TEST(fleet, the_table_names_the_evacuations_in_force_and_how_many_instances_know_them)
{
    const std::string evacuated =
        R"({"generation":7,"evacuations":[{"data_centre":"south","revision":41,)"
        R"("age_ms":1200}, 5, {"revision":"?"}]})";
    statuses.push_back(make_status("five", evacuated));
    statuses.push_back(make_status("six", evacuated));
    std::ostringstream out;
    print_status(out, statuses, {7}, false);
    STRCMP_CONTAINS("evacuated: south, revision 41, for 1200 ms, on 2 of 4 instances",
                    out.str().c_str());
    std::ostringstream json;
    print_status(json, statuses, {7}, true);
    STRCMP_CONTAINS(R"({"data_centre":"south","revision":41,"age_ms":1200})",
                    json.str().c_str());
}

TEST(fleet, peers_are_discovered_from_one_instance)
{
    canned_server second({{http_response_text(200, status_page("second", "7", ""))}});
    const std::string peer = "\"" + to_string(second.address()) + "\"";
    canned_server first({{http_response_text(200, status_page("first", "7", peer))}});
    const auto found = query_fleet({first.address()}, std::chrono::milliseconds(1000));
    LONGS_EQUAL(2, found.size());
    STRCMP_EQUAL("first", name_of(found[0]).c_str());
    STRCMP_EQUAL("second", name_of(found[1]).c_str());
}
