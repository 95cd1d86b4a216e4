#ifndef KUMQUATPATH_BENCH_REPORT_HPP
#define KUMQUATPATH_BENCH_REPORT_HPP

/// \file
/// The output of every bench: one JSON line a metric, and an exit code that is 0 only if
/// every bound held.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatpath::bench
{

/// The options that every bench takes on its command line.
struct bench_options
{
    std::uint64_t seed = 1;
    /// The variant to run; empty means every variant of the bench.
    std::string variant;
};

/// Reads --seed N and --variant V. Prints the usage and ends the process on a fault.
bench_options read_options(int argc, char** argv, std::string_view experiment);

/// Which side of its bound a metric must stay on.
enum class bound_kind
{
    at_most,
    at_least,
};

/// A bound of a metric, taken from the stated target and never from a measured figure.
struct metric_bound
{
    bound_kind kind = bound_kind::at_most;
    double value = 0;
};

/// One figure of a run.
struct measurement
{
    std::string_view variant;
    std::string_view metric;
    double value = 0;
    std::string_view unit;
    /// Absent for a baseline, or for a figure that is only told.
    std::optional<metric_bound> bound;
};

/// Collects the figures of one bench and prints each as it comes.
class report
{
public:
    report(std::string_view experiment, std::uint64_t seed);

    /// Prints \p figure with the keys experiment, seed, variant, metric, value, unit,
    /// bound and ok.
    void add(const measurement& figure);

    /// Returns the exit code: 0 if every bound held so far, 1 if one did not.
    int exit_code() const;

private:
    std::string experiment_;
    std::uint64_t seed_;
    bool every_bound_held_ = true;
};

} // namespace kumquatpath::bench

#endif
