#ifndef KUMQUATPATH_MODEL_TIME_HPP
#define KUMQUATPATH_MODEL_TIME_HPP

/// \file
/// Points in time and durations as the decision functions use them.
///
/// No decision function reads a clock: its caller passes the current time, so tests and
/// benchmarks can run the same functions in virtual time.

#include <chrono>
#include <cstdint>

namespace kumquatpath
{

/// The clock type of time_point. It is only a tag and has no now().
struct decision_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

/// A duration in nanoseconds.
using duration = decision_clock::duration;

/// A point in time on the monotonic clock of one instance. Points in time of different
/// instances cannot be compared.
using time_point = decision_clock::time_point;

/// A wall-clock time. The wall clocks of instances agree to within about a second.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns \p time in milliseconds, including fractions.
inline double milliseconds_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Returns a duration of \p milliseconds, which may have a fraction.
inline duration from_milliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace kumquatpath

#endif
