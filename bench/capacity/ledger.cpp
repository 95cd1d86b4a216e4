#include <capacity/ledger.hpp>

#include <sstream>

namespace kumquatpath::bench
{

ledger::ledger(report& out, std::uint64_t seed) : out_(out), seed_(seed) {}

const cost_line& ledger::add_line(const line_name& what,
                                  const std::vector<cost_point>& points)
{
    for (const cost_point& each : points)
    {
        std::ostringstream metric;
        metric << "point " << static_cast<std::uint64_t>(each.size) << ' '
               << what.size_unit;
        add({.variant = what.name,
             .metric = metric.str(),
             .value = each.cost,
             .unit = what.cost_unit});
    }
    const cost_line fitted = fit_line(points, what.scale);
    add({.variant = what.name,
         .metric = "slope",
         .value = fitted.slope,
         .unit = what.cost_unit + "/" +
                 (what.scale == growth::linear ? what.size_unit
                                               : "doubling of " + what.size_unit)});
    add({.variant = what.name,
         .metric = "fixed",
         .value = fitted.fixed,
         .unit = what.cost_unit});
    add({.variant = what.name,
         .metric = "residual",
         .value = fitted.residual,
         .unit = "fraction"});
    return lines_[what.name] = fitted;
}

void ledger::add(const measurement& figure)
{
    figures_[{std::string(figure.variant), std::string(figure.metric)}] = figure.value;
    out_.add(figure);
}

void ledger::tell(std::string_view variant, std::string_view metric, double value,
                  std::string_view unit)
{
    add({.variant = variant, .metric = metric, .value = value, .unit = unit});
}

void ledger::tell_bounded(std::string_view variant, std::string_view metric, double value,
                          std::string_view unit, double bound)
{
    add({.variant = variant,
         .metric = metric,
         .value = value,
         .unit = unit,
         .bound = metric_bound{.kind = bound_kind::at_most, .value = bound}});
}

const cost_line& ledger::line(const std::string& name) const
{
    return lines_.at(name);
}

double ledger::figure(const std::string& variant, const std::string& metric) const
{
    return figures_.at({variant, metric});
}

std::uint64_t ledger::seed() const
{
    return seed_;
}

} // namespace kumquatpath::bench
