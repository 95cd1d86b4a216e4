#include <capacity/slope.hpp>

namespace kumquatpath::bench
{

cost_line fit_line(std::span<const cost_point> points, growth scale)
{
    double weights = 0;
    double sizes = 0;
    double costs = 0;
    double squares = 0;
    double products = 0;
    for (const cost_point& each : points)
    {
        const double weight = 1 / (each.cost * each.cost);
        const double size = scale == growth::linear ? each.size : std::log2(each.size);
        weights += weight;
        sizes += weight * size;
        costs += weight * each.cost;
        squares += weight * size * size;
        products += weight * size * each.cost;
    }
    cost_line line{.scale = scale};
    line.slope =
        (weights * products - sizes * costs) / (weights * squares - sizes * sizes);
    line.fixed = (costs - line.slope * sizes) / weights;
    double errors = 0;
    for (const cost_point& each : points)
    {
        const double error = line.at(each.size) / each.cost - 1;
        errors += error * error;
    }
    line.residual = std::sqrt(errors / static_cast<double>(points.size()));
    return line;
}

} // namespace kumquatpath::bench
