#ifndef KUMQUATPATH_DECISION_OPENING_TIMES_HPP
#define KUMQUATPATH_DECISION_OPENING_TIMES_HPP

/// \file
/// The distribution of the times from an opening to the caller's next packet, in
/// logarithmic bins from 1 ms to about 285 ms. Older times lose weight as newer ones
/// arrive.

#include <kumquatpath/model/time.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace kumquatpath
{

inline constexpr std::size_t opening_time_bin_count = 48;

struct opening_times
{
    std::array<double, opening_time_bin_count> counts{};
    double total = 0;
};

/// Returns the time that a share \p quantile of \p times does not exceed, rounded up to
/// the end of its bin; unset if too few times were added to know it.
std::optional<duration> quantile_of(const opening_times& times, double quantile);

/// Adds \p time to \p times.
void add_time(opening_times& times, duration time);

} // namespace kumquatpath

#endif
