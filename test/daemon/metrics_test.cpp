/// \file
/// Tests of counters on the metrics page.

#include <kumquatpath/build_id.hpp>

#include <metrics.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(metrics){};

TEST(metrics, the_page_names_the_build)
{
    const std::string page = metrics_page(
        {}, make_entry_instance({.self = {1}, .local_data_centre = {2}}), {});
    STRCMP_CONTAINS(
        ("kumquatpath_build{id=\"" + std::string(build_id) + "\"} 1\n").c_str(),
        page.c_str());
    UNSIGNED_LONGS_EQUAL(12, build_id.size());
}

TEST(metrics, the_page_has_the_dropped_messages_of_each_thread)
{
    const instance_metrics metrics{.messages_dropped = {.state_reader = 1,
                                                        .state_transfer = 2,
                                                        .status_server = 3,
                                                        .packet_worker = 4}};
    const std::string page =
        metrics_page(metrics, make_entry_instance({.self = {1}}), time_point());
    STRCMP_CONTAINS("kumquatpath_messages_dropped{from=\"state_reader\"} 1\n",
                    page.c_str());
    STRCMP_CONTAINS("kumquatpath_messages_dropped{from=\"state_transfer\"} 2\n",
                    page.c_str());
    STRCMP_CONTAINS("kumquatpath_messages_dropped{from=\"status_server\"} 3\n",
                    page.c_str());
    STRCMP_CONTAINS("kumquatpath_messages_dropped{from=\"packet_worker\"} 4\n",
                    page.c_str());
}
