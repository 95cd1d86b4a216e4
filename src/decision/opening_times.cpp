#include <kumquatpath/decision/opening_times.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// With fewer times than this beyond a quantile, the quantile is not known.
constexpr double min_times_beyond = 1;
/// Beyond this total weight, all times lose half of their weight.
constexpr double max_total = 2000;
constexpr double min_bin_ms = 1;
/// Each bin ends at this multiple of the end of the one before.
constexpr double bin_factor = 1.125;

std::size_t bin_of(double time_ms)
{
    const double bin =
        std::log(std::max(time_ms, min_bin_ms) / min_bin_ms) / std::log(bin_factor);
    return std::min(static_cast<std::size_t>(bin), opening_time_bin_count - 1);
}

/// Returns the upper end of \p bin in milliseconds.
double end_of(std::size_t bin)
{
    return min_bin_ms * std::pow(bin_factor, static_cast<double>(bin) + 1);
}

} // namespace

std::optional<duration> quantile_of(const opening_times& times, double quantile)
{
    double above = (1 - quantile) * times.total;
    if (above < min_times_beyond)
    {
        return std::nullopt;
    }
    std::size_t bin = opening_time_bin_count - 1;
    while (bin > 0 && times.counts[bin] <= above)
    {
        above -= times.counts[bin];
        --bin;
    }
    return from_milliseconds(end_of(bin));
}

void add_time(opening_times& times, duration time)
{
    if (times.total >= max_total)
    {
        for (double& each : times.counts)
        {
            each /= 2;
        }
        times.total /= 2;
    }
    times.counts[bin_of(milliseconds_of(time))] += 1;
    times.total += 1;
}

} // namespace kumquatpath
