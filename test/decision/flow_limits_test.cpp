/// \file
/// Tests of the limits on new flows: they are independent of each other, and the
/// instances share each of them.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/flow_limits.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(flow_limits)
{
    time_point now{100s};
    routing_table table = web_table();
    flow_limits limits;

    int admitted(int offered, std::size_t instances = 1, std::uint16_t tenant = 1)
    {
        int count = 0;
        for (int i = 0; i < offered; ++i)
        {
            flow_packet packet = opening(static_cast<std::uint16_t>(i));
            packet.tenant = {tenant};
            packet.traffic_class = {7};
            now += duration(1s) / offered;
            count += admit_flow(limits, table, packet, instances, now) ? 1 : 0;
        }
        return count;
    }
};

TEST(flow_limits, without_a_limit_everything_is_admitted)
{
    LONGS_EQUAL(1000, admitted(1000));
}

TEST(flow_limits, a_service_admits_its_limit_each_second)
{
    table.routes.begin()->second.flows_per_second = 100;
    admitted(1000);
    const int second = admitted(1000);
    CHECK_TRUE(second >= 99 && second <= 101);
}

TEST(flow_limits, instances_share_a_limit)
{
    table.routes.begin()->second.flows_per_second = 100;
    admitted(1000, 4);
    const int second = admitted(1000, 4);
    CHECK_TRUE(second >= 24 && second <= 26);
}

TEST(flow_limits, one_tenant_over_its_limit_does_not_affect_another)
{
    table.tenant_limits[1] = 10;
    table.tenant_limits[2] = 10;
    admitted(1000, 1, 1);
    LONGS_EQUAL(10, admitted(10, 1, 2));
}

TEST(flow_limits, a_flow_refused_by_one_limit_takes_no_token_of_another)
{
    table.tenant_limits[1] = 1;
    table.class_limits[7] = 100;
    admitted(1000, 1, 1);
    CHECK_TRUE(admitted(100, 1, 2) >= 99);
}
