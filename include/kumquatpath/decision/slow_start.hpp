#ifndef KUMQUATPATH_DECISION_SLOW_START_HPP
#define KUMQUATPATH_DECISION_SLOW_START_HPP

/// \file
/// Slow start: the part of its share that a cold target is given.

#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <optional>

namespace kumquatpath
{

/// How a target warms up at one instance.
struct slow_start
{
    /// When the target was first given work while cold; empty when it is warm.
    std::optional<time_point> since;
    /// The answers that it has given since.
    std::uint32_t answers = 0;
};

/// The time a cold target takes to reach its full share.
inline constexpr duration warm_up_time = std::chrono::seconds(30);

/// Begins to warm a target up.
void begin(slow_start& warming, time_point now) noexcept;

/// Notes an answer of the target.
void note_answer(slow_start& warming) noexcept;

/// Returns the part of its share, in (0, 1], that the target is given at \p now. It grows
/// with the time since begin() but never faster than with the answers, so a target that
/// answers nothing stays at its first small part.
double weight_of(const slow_start& warming, time_point now) noexcept;

} // namespace kumquatpath

#endif
