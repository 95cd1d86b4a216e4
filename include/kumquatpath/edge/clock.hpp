#ifndef KUMQUATPATH_EDGE_CLOCK_HPP
#define KUMQUATPATH_EDGE_CLOCK_HPP

/// \file
/// The machine's clocks. Decision code does not read them; it receives the time as an
/// argument.

#include <kumquatpath/model/time.hpp>

namespace kumquatpath
{

/// Returns the current time of this machine's monotonic clock.
inline time_point monotonic_now()
{
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
}

/// Returns the current time of this machine's wall clock, in milliseconds.
inline wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace kumquatpath

#endif
