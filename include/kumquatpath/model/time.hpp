#ifndef KUMQUATPATH_MODEL_TIME_HPP
#define KUMQUATPATH_MODEL_TIME_HPP

/// \file
/// Points in time as the decisions see them.
///
/// No decision reads a clock: the caller passes the present time, so a test or a bench
/// can run the same functions in virtual time.

#include <chrono>
#include <cstdint>

namespace kumquatpath
{

/// The clock of time_point. It is only a tag: it has no now().
struct decision_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

/// A span of time, in nanoseconds.
using duration = decision_clock::duration;

/// A point on the monotonic time line of one instance; points of two instances don't
/// compare.
using time_point = decision_clock::time_point;

/// A point on the wall clock, which instances share to within a second or so.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns \p time in milliseconds, with their fractions.
inline double milliseconds_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Returns the duration of \p time milliseconds.
inline duration from_milliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace kumquatpath

#endif
