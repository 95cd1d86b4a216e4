#ifndef KUMQUATPATH_BENCH_CAPACITY_LEDGER_HPP
#define KUMQUATPATH_BENCH_CAPACITY_LEDGER_HPP

/// \file
/// The figures of one run of the capacity bench: each is printed as it comes and kept for
/// the figures that are worked out from it.

#include <capacity/slope.hpp>
#include <report.hpp>

#include <map>
#include <string>
#include <vector>

namespace kumquatpath::bench
{

/// Names a measured line and its units.
struct line_name
{
    /// What is measured, as "section/name".
    std::string name;
    std::string size_unit;
    std::string cost_unit;
    growth scale = growth::linear;
};

/// Collects the figures of a run.
class ledger
{
public:
    ledger(report& out, std::uint64_t seed);

    /// Prints every point and the line that fits them.
    const cost_line& add_line(const line_name& what,
                              const std::vector<cost_point>& points);

    /// Prints one figure.
    void add(const measurement& figure);

    /// Prints one figure that has no bound.
    void tell(std::string_view variant, std::string_view metric, double value,
              std::string_view unit);

    /// Prints one figure that must be at most \p bound.
    void tell_bounded(std::string_view variant, std::string_view metric, double value,
                      std::string_view unit, double bound);

    /// Returns the line that was added as \p name. Throws std::out_of_range without one.
    const cost_line& line(const std::string& name) const;

    /// Returns a figure that was added. Throws std::out_of_range without one.
    double figure(const std::string& variant, const std::string& metric) const;

    std::uint64_t seed() const;

private:
    report& out_;
    std::uint64_t seed_;
    std::map<std::string, cost_line> lines_;
    std::map<std::pair<std::string, std::string>, double> figures_;
};

} // namespace kumquatpath::bench

#endif
