#include "report.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <tclap/CmdLine.h>

#include <iostream>

namespace kumquatpath::bench
{

bench_options read_options(int argc, char** argv, std::string_view experiment)
{
    TCLAP::CmdLine command("Runs the bench " + std::string(experiment), ' ', "0.1");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the random numbers", false,
                                        1, "N", command);
    TCLAP::ValueArg<std::string> variant("", "variant", "Run only this variant", false,
                                         "", "V", command);
    command.parse(argc, argv);
    return {.seed = seed.getValue(), .variant = variant.getValue()};
}

report::report(std::string_view experiment, std::uint64_t seed)
    : experiment_(experiment), seed_(seed)
{
}

void report::add(const measurement& figure)
{
    bool ok = true;
    boost::json::value bound = nullptr;
    if (figure.bound)
    {
        const bool is_upper = figure.bound->kind == bound_kind::at_most;
        ok = is_upper ? figure.value <= figure.bound->value
                      : figure.value >= figure.bound->value;
        bound = figure.bound->value;
    }
    every_bound_held_ = every_bound_held_ && ok;
    const boost::json::value line = {{"experiment", experiment_},
                                     {"seed", seed_},
                                     {"variant", figure.variant},
                                     {"metric", figure.metric},
                                     {"value", figure.value},
                                     {"unit", figure.unit},
                                     {"bound", bound},
                                     {"ok", ok}};
    std::cout << boost::json::serialize(line) << std::endl;
}

int report::exit_code() const
{
    return every_bound_held_ ? 0 : 1;
}

} // namespace kumquatpath::bench
