/// \file
/// What the instances tell, put together.

#include "client/fleet.hpp"
#include "client/fleet_metrics.hpp"

#include <boost/json/parse.hpp>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

namespace
{

instance_answer answer(const char* name, const char* body)
{
    instance_answer answer{.instance = {.name = name, .data_centre = "a"}};
    if (body != nullptr)
    {
        answer.body = boost::json::parse(body);
    }
    return answer;
}

/// Returns what an instance says of itself, in which "two" stands by its id.
std::string report_of_one()
{
    std::string text = R"({"instance":"one","generation":7,"switched":7,"leaving":false,
        "members":[{"instance":"two","state":"alive"},{"instance":"#TWO","state":"dead"}],
        "drains":[{"kind":"target","name":"t1","waits_for":"3 open flows"}]})";
    const std::string id = std::to_string(id_of<instance_id>("two").value);
    return text.replace(text.find("TWO"), 3, id);
}

} // namespace

TEST_GROUP(fleet)
{
    std::vector<instance_status> statuses =
        read_statuses({answer("one", report_of_one().c_str()),
                       answer("two", R"({"generation":6,"switched":6,"claims":false})"),
                       answer("three", R"({"generation":7,"switched":6})"),
                       answer("four", nullptr), answer("five", R"(["?"])")});
};

TEST(fleet, progress_tells_apart_who_is_behind_and_who_was_not_reached)
{
    const auto progress = progress_of(statuses, {7});

    LONGS_EQUAL(1, progress.in_force);
    LONGS_EQUAL(2, progress.behind.size());
    STRCMP_EQUAL("two", progress.behind[0].c_str());
    STRCMP_EQUAL("three", progress.behind[1].c_str());
    LONGS_EQUAL(2, progress.unreachable.size());
    CHECK_FALSE(is_complete(progress));
    CHECK_TRUE(is_complete(progress_of(statuses, {6})));
}

TEST(fleet, an_instance_that_cannot_claim_is_marked)
{
    std::ostringstream out;
    print_status(out, statuses, {6}, false);

    STRCMP_CONTAINS("no claims", out.str().c_str());
}

TEST(fleet, nobody_reached_is_not_in_force)
{
    CHECK_FALSE(is_complete(progress_of({}, {1})));
}

TEST(fleet, the_table_names_drains_and_what_they_wait_for)
{
    std::ostringstream out;
    print_status(out, statuses, {7}, false);

    STRCMP_CONTAINS("target t1 on one waits for 3 open flows", out.str().c_str());
    STRCMP_CONTAINS("switching", out.str().c_str());
    STRCMP_CONTAINS("BEHIND", out.str().c_str());
    STRCMP_CONTAINS("NOT REACHED", out.str().c_str());
    STRCMP_CONTAINS("1 alive, 1 dead (two)", out.str().c_str());
}

TEST_GROUP(fleet_metrics)
{
    fleet_metrics metrics = add_up({answer("one", R"({"histograms":[
            {"service":"s","tenant":"n","class":"c","unit":"us",
             "bounds":[100,1000],"counts":[8,1,1]},
            {"service":"s","tenant":"m","class":"c","unit":"us",
             "bounds":[100,1000],"counts":[0,10,0]}],
            "counters":{"dropped":2}})"),
                                    answer("two", R"({"histograms":[
            {"service":"s","tenant":"n","class":"c","unit":"us",
             "bounds":[100,1000],"counts":[2,0,0]},
            {"service":"s","tenant":"n","class":"c","unit":"us",
             "bounds":[5],"counts":[1,0]},
            {"service":"s","tenant":"n","class":"c","unit":"us",
             "bounds":[5],"counts":[1,0,0,0]}],
            "counters":{"dropped":3}})"),
                                    answer("three", nullptr)});
};

TEST(fleet_metrics, histograms_and_counters_add_up_over_instances)
{
    const auto& histogram = metrics.histograms.at({"s", "n", "c", "us"});

    LONGS_EQUAL(2, metrics.histograms.size());
    LONGS_EQUAL(10, histogram.counts.at(0));
    LONGS_EQUAL(12, total_of(histogram));
    LONGS_EQUAL(5, metrics.counters.at("dropped"));
}

TEST(fleet_metrics, what_is_missing_or_does_not_fit_is_told)
{
    LONGS_EQUAL(2, metrics.incompatible);
    LONGS_EQUAL(1, metrics.missing.size());
    STRCMP_EQUAL("three", metrics.missing[0].c_str());
}

TEST(fleet_metrics, quantiles_are_upper_bounds_over_all_tenants)
{
    const auto sums = without_tenants(metrics);
    const auto& histogram = sums.histograms.at({"s", "", "c", "us"});

    LONGS_EQUAL(22, total_of(histogram));
    DOUBLES_EQUAL(100, quantile_of(histogram, 0.45).value(), 0);
    DOUBLES_EQUAL(1000, quantile_of(histogram, 0.9).value(), 0);
    CHECK_FALSE(quantile_of(histogram, 0.99).has_value());
}

TEST(fleet_metrics, bars_show_every_bucket_that_holds_a_value)
{
    std::ostringstream out;
    print_metrics(out, metrics, false);

    STRCMP_CONTAINS("s, c: 22 values", out.str().c_str());
    STRCMP_CONTAINS("over 1 ms ####", out.str().c_str());
    STRCMP_CONTAINS("dropped 5", out.str().c_str());
    STRCMP_CONTAINS("Not reached: three", out.str().c_str());
}
