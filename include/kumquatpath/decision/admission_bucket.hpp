#ifndef KUMQUATPATH_DECISION_ADMISSION_BUCKET_HPP
#define KUMQUATPATH_DECISION_ADMISSION_BUCKET_HPP

/// \file
/// The two counters that rate limits are made of: a token bucket, and a meter that
/// smooths a rate. Both cost a few numbers and no timer.

#include <kumquatpath/model/time.hpp>

namespace kumquatpath
{

/// Returns \p span in seconds.
constexpr double in_seconds(duration span) noexcept
{
    return std::chrono::duration<double>(span).count();
}

/// How fast a token bucket fills, and how much it holds.
struct bucket_rate
{
    /// Tokens a second.
    double per_second = 0;
    /// The most tokens that are ever held.
    double depth = 1;
};

/// A token bucket. It is full when it is first used.
struct token_bucket
{
    double tokens = 0;
    time_point filled{};
    bool used = false;
};

/// Adds the tokens that \p bucket has earned since it was last filled.
void refill(token_bucket& bucket, const bucket_rate& rate, time_point now) noexcept;

/// Returns whether one token can be taken so that \p reserve of them stay.
constexpr bool has_token(const token_bucket& bucket, double reserve = 0) noexcept
{
    return bucket.tokens >= 1 + reserve;
}

/// An event rate that forgets exponentially.
struct rate_meter
{
    /// Events a second, as of \c updated.
    double per_second = 0;
    time_point updated{};
};

/// The time in which a rate_meter forgets all but a third of what it saw.
inline constexpr duration rate_memory = std::chrono::seconds(1);

/// Counts one event.
void note_event(rate_meter& meter, time_point now) noexcept;

/// Returns the smoothed rate at \p now, in events a second.
double rate_at(const rate_meter& meter, time_point now) noexcept;

} // namespace kumquatpath

#endif
