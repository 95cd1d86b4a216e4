#ifndef KUMQUATPATH_DECISION_REVIEW_INTERVAL_HPP
#define KUMQUATPATH_DECISION_REVIEW_INTERVAL_HPP

/// \file
/// How often all targets are looked through.

#include <kumquatpath/model/time.hpp>

#include <algorithm>
#include <cstddef>

namespace kumquatpath
{

/// No review of targets is repeated sooner.
inline constexpr duration min_review_interval = std::chrono::milliseconds(50);

/// Returns the time from one review of \p targets targets to the next. It grows with
/// their number, so that no more than \p targets_per_second are looked at in a second.
inline duration review_interval(std::size_t targets, double targets_per_second)
{
    const double milliseconds = 1000 * static_cast<double>(targets) / targets_per_second;
    return std::max(min_review_interval, from_milliseconds(milliseconds));
}

} // namespace kumquatpath

#endif
