/// \file
/// Simulates a deployment in virtual time in several scenarios and compares the load
/// balancer's placement of flows with two baselines. Prints a table or, with --json, one
/// JSON object per line.

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

/// The worth of a request that is answered after its latency goal. An answer in time is
/// worth 1 and a failed request 0.
constexpr double late_answer_worth = 0.3;

/// A policy and the name under which its results are printed.
struct named_policy
{
    placement_policy policy;
    const char* name;
};

constexpr named_policy policies[] = {{placement_policy::steering, "steering"},
                                     {placement_policy::random, "random"},
                                     {placement_policy::hashed, "hashed"}};

constexpr const char* scenarios[] = {"calm", "busy", "power", "cut", "crash", "flood"};

/// The result of one run, or the summary of the runs with several seeds.
struct scenario_result
{
    /// The mean worth of a request, from 0 to 1.
    double worth = 0;
    /// The lowest mean worth in any time window.
    double worst_window = 1;
    /// Number of requests that got no answer before their deadline.
    std::uint64_t failed = 0;
    /// See fleet_model::imbalance().
    double imbalance = 0;
};

/// Returns the mean worth of the requests in \p counts, or 1 if there are none.
double worth_of(const window_counts& counts)
{
    return counts.started == 0 ? 1
                               : (static_cast<double>(counts.in_time) +
                                  late_answer_worth * static_cast<double>(counts.late)) /
                                     static_cast<double>(counts.started);
}

/// Schedules the disturbance of \p scenario. "calm" and "busy" have none.
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

/// Simulates 20 s of \p scenario. In "busy", callers send more requests than by default.
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

/// Runs each scenario with each policy and \p seed_count successive seeds from
/// \p first_seed, and prints a summary for each scenario and policy: the means of
/// worth and imbalance, the lowest worst_window and the total of failed requests.
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
    TCLAP::CmdLine command("Compares placement policies in a simulated deployment", ' ',
                           "0.1");
    TCLAP::ValueArg<std::uint64_t> seeds(
        "", "seeds", "Number of seeds to run each scenario with", false, 5, "N", command);
    TCLAP::ValueArg<std::uint64_t> seed(
        "", "seed", "First seed; the next ones count up from it", false, 1, "N", command);
    TCLAP::SwitchArg json("", "json", "Print one JSON object per line", command);
    command.parse(argc, argv);
    kumquatpath::bench::compare_policies(seeds.getValue(), seed.getValue(),
                                         json.getValue());
    return 0;
}
