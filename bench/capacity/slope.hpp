#ifndef KUMQUATPATH_BENCH_CAPACITY_SLOPE_HPP
#define KUMQUATPATH_BENCH_CAPACITY_SLOPE_HPP

/// \file
/// Straight lines through measured points, and the timing that makes the points.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <limits>
#include <span>

namespace kumquatpath::bench
{

/// One measured cost at one size of the work.
struct cost_point
{
    double size = 0;
    double cost = 0;
};

/// How a cost grows: with the size itself, or with each doubling of it.
enum class growth
{
    linear,
    logarithmic,
};

/// The line cost = fixed + slope * size, or fixed + slope * log2(size).
struct cost_line
{
    growth scale = growth::linear;
    double fixed = 0;
    double slope = 0;
    /// The root mean square of the relative distances between the points and the line.
    double residual = 0;

    /// Returns the cost at \p size.
    double at(double size) const
    {
        return fixed + slope * (scale == growth::linear ? size : std::log2(size));
    }
};

/// Fits a line to \p points by least squares of the relative errors, so that small sizes
/// count as much as large ones. It takes at least two points of distinct sizes, and costs
/// above zero.
cost_line fit_line(std::span<const cost_point> points, growth scale);

/// Returns the nanoseconds that one call of \p work takes: the least over \p rounds
/// rounds of \p calls calls, since whatever disturbs a round only adds to it.
template <class Work>
double nanoseconds_per_call(std::size_t rounds, std::size_t calls, Work&& work)
{
    using clock = std::chrono::steady_clock;
    double least = std::numeric_limits<double>::max();
    for (std::size_t round = 0; round < rounds; ++round)
    {
        const auto begin = clock::now();
        for (std::size_t call = 0; call < calls; ++call)
        {
            work();
        }
        const std::chrono::duration<double, std::nano> passed = clock::now() - begin;
        least = std::min(least, passed.count() / static_cast<double>(calls));
    }
    return least;
}

/// Makes the compiler believe that \p value is used.
template <class Value>
void keep(const Value& value)
{
    asm volatile("" : : "r,m"(value) : "memory");
}

} // namespace kumquatpath::bench

#endif
