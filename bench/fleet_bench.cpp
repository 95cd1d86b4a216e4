/// \file
/// Plays a deployment in virtual time under one trouble and compares the product's
/// placement with two baselines. Prints a table and, with --json, one JSON object a line.

#include "fleet_model.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace kumquatpath::bench
{
namespace
{

constexpr double late_answer_worth = 0.3;

struct named_policy
{
    placement_policy policy;
    const char* name;
};

constexpr named_policy policies[] = {{placement_policy::steering, "steering"},
                                     {placement_policy::random, "random"},
                                     {placement_policy::hashed, "hashed"}};

constexpr const char* scenarios[] = {"calm", "busy", "power", "cut", "crash", "flood"};

struct scenario_result
{
    double worth = 0;
    double worst_window = 1;
    std::uint64_t failed = 0;
    double imbalance = 0;
};

double worth_of(const window_counts& counts)
{
    return counts.started == 0 ? 1
                               : (static_cast<double>(counts.in_time) +
                                  late_answer_worth * static_cast<double>(counts.late)) /
                                     static_cast<double>(counts.started);
}

void schedule_disturbance(fleet_model& model, const std::string& scenario)
{
    using std::chrono::milliseconds;
    if (scenario == "power")
    {
        model.schedule_power_outage(milliseconds(8000), milliseconds(1400));
    }
    if (scenario == "cut")
    {
        model.schedule_partition(milliseconds(8000), milliseconds(6000));
    }
    if (scenario == "crash")
    {
        model.schedule_target_crash(milliseconds(8000));
    }
    if (scenario == "flood")
    {
        model.schedule_flood(milliseconds(8000), milliseconds(4000), 2.5);
    }
}

scenario_result run_scenario(const std::string& scenario, placement_policy policy,
                             std::uint64_t seed)
{
    constexpr double busy_requests_per_second = 175;
    model_options options{.policy = policy, .seed = seed};
    if (scenario == "busy")
    {
        options.requests_per_second = busy_requests_per_second;
    }
    fleet_model model(options);
    schedule_disturbance(model, scenario);
    model.run(std::chrono::seconds(20));
    scenario_result result{.imbalance = model.imbalance()};
    window_counts all;
    for (const window_counts& each : model.windows())
    {
        all.started += each.started;
        all.in_time += each.in_time;
        all.late += each.late;
        all.failed += each.failed;
        result.worst_window = std::min(result.worst_window, worth_of(each));
    }
    result.worth = worth_of(all);
    result.failed = all.failed;
    return result;
}

void compare_policies(std::uint64_t seed_count, std::uint64_t first_seed, bool is_json)
{
    if (!is_json)
    {
        std::cout << "scenario  policy      worth  worst window  failed  busiest/mean\n";
    }
    for (const char* const scenario : scenarios)
    {
        for (const named_policy& each : policies)
        {
            scenario_result summary;
            for (std::uint64_t seed = first_seed; seed < first_seed + seed_count; ++seed)
            {
                const scenario_result result = run_scenario(scenario, each.policy, seed);
                summary.worth += result.worth / static_cast<double>(seed_count);
                summary.worst_window =
                    std::min(summary.worst_window, result.worst_window);
                summary.failed += result.failed;
                summary.imbalance += result.imbalance / static_cast<double>(seed_count);
            }
            if (is_json)
            {
                std::cout << boost::json::serialize(boost::json::object{
                                 {"scenario", scenario},
                                 {"policy", each.name},
                                 {"seeds", seed_count},
                                 {"worth", summary.worth},
                                 {"worst_window", summary.worst_window},
                                 {"failed", summary.failed},
                                 {"imbalance", summary.imbalance}})
                          << "\n";
                continue;
            }
            std::cout << std::left << std::setw(10) << scenario << std::setw(10)
                      << each.name << std::right << std::fixed << std::setprecision(3)
                      << std::setw(7) << summary.worth << std::setw(14)
                      << summary.worst_window << std::setw(8) << summary.failed
                      << std::setw(14) << summary.imbalance << "\n";
        }
    }
}

} // namespace
} // namespace kumquatpath::bench

int main(int argc, char** argv)
{
    TCLAP::CmdLine command("Plays a deployment in virtual time", ' ', "0.1");
    TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "How many seeds", false, 5, "N",
                                         command);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "The first seed", false, 1, "N",
                                        command);
    TCLAP::SwitchArg json("", "json", "One JSON object a line", command);
    command.parse(argc, argv);
    kumquatpath::bench::compare_policies(seeds.getValue(), seed.getValue(),
                                         json.getValue());
    return 0;
}
