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

constexpr double late_worth = 0.3;

struct policy_name
{
    placement_policy policy;
    const char* name;
};

constexpr policy_name policies[] = {{placement_policy::steering, "steering"},
                                    {placement_policy::random, "random"},
                                    {placement_policy::hashed, "hashed"}};

constexpr const char* scenarios[] = {"calm", "busy", "power", "cut", "crash", "flood"};

struct outcome
{
    double worth = 0;
    double worst_window = 1;
    std::uint64_t failed = 0;
    double imbalance = 0;
};

double worth_of(const window_counts& counts)
{
    return counts.begun == 0 ? 1
                             : (static_cast<double>(counts.in_time) +
                                late_worth * static_cast<double>(counts.late)) /
                                   static_cast<double>(counts.begun);
}

void arrange(fleet_model& model, const std::string& scenario)
{
    using std::chrono::milliseconds;
    if (scenario == "power")
    {
        model.power_off_all(milliseconds(8000), milliseconds(1400));
    }
    if (scenario == "cut")
    {
        model.cut_first(milliseconds(8000), milliseconds(6000));
    }
    if (scenario == "crash")
    {
        model.crash_targets(milliseconds(8000));
    }
    if (scenario == "flood")
    {
        model.flood(milliseconds(8000), milliseconds(4000), 2.5);
    }
}

outcome play(const std::string& scenario, placement_policy policy, std::uint64_t seed)
{
    constexpr double busy_rate = 175;
    model_options options{.policy = policy, .seed = seed};
    if (scenario == "busy")
    {
        options.rate_each = busy_rate;
    }
    fleet_model model(options);
    arrange(model, scenario);
    model.play(std::chrono::seconds(20));
    outcome result{.imbalance = model.imbalance()};
    window_counts all;
    for (const window_counts& each : model.windows())
    {
        all.begun += each.begun;
        all.in_time += each.in_time;
        all.late += each.late;
        all.failed += each.failed;
        result.worst_window = std::min(result.worst_window, worth_of(each));
    }
    result.worth = worth_of(all);
    result.failed = all.failed;
    return result;
}

void run(std::uint64_t seeds, std::uint64_t first, bool is_json)
{
    if (!is_json)
    {
        std::cout << "scenario  policy      worth  worst window  failed  busiest/mean\n";
    }
    for (const char* const scenario : scenarios)
    {
        for (const policy_name& each : policies)
        {
            outcome mean;
            for (std::uint64_t seed = first; seed < first + seeds; ++seed)
            {
                const outcome played = play(scenario, each.policy, seed);
                mean.worth += played.worth / static_cast<double>(seeds);
                mean.worst_window = std::min(mean.worst_window, played.worst_window);
                mean.failed += played.failed;
                mean.imbalance += played.imbalance / static_cast<double>(seeds);
            }
            if (is_json)
            {
                std::cout << boost::json::serialize(
                                 boost::json::object{{"scenario", scenario},
                                                     {"policy", each.name},
                                                     {"seeds", seeds},
                                                     {"worth", mean.worth},
                                                     {"worst_window", mean.worst_window},
                                                     {"failed", mean.failed},
                                                     {"imbalance", mean.imbalance}})
                          << "\n";
                continue;
            }
            std::cout << std::left << std::setw(10) << scenario << std::setw(10)
                      << each.name << std::right << std::fixed << std::setprecision(3)
                      << std::setw(7) << mean.worth << std::setw(14) << mean.worst_window
                      << std::setw(8) << mean.failed << std::setw(14) << mean.imbalance
                      << "\n";
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
    kumquatpath::bench::run(seeds.getValue(), seed.getValue(), json.getValue());
    return 0;
}
