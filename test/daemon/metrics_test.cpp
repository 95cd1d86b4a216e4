/// \file
/// Tests of counters on the metrics page.

#include <metrics.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(metrics){};

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
