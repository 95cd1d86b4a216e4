#include <kumquatpath/decision/admission_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{

void refill(token_bucket& bucket, const bucket_rate& rate, time_point now) noexcept
{
    if (!bucket.used)
    {
        bucket = {.tokens = rate.depth, .filled = now, .used = true};
        return;
    }
    const double earned = in_seconds(now - bucket.filled) * rate.per_second;
    bucket.tokens = std::min(rate.depth, bucket.tokens + std::max(earned, 0.0));
    bucket.filled = std::max(bucket.filled, now);
}

void note_event(rate_meter& meter, time_point now) noexcept
{
    meter.per_second = rate_at(meter, now) + 1 / in_seconds(rate_memory);
    meter.updated = std::max(meter.updated, now);
}

double rate_at(const rate_meter& meter, time_point now) noexcept
{
    const double elapsed = std::max(in_seconds(now - meter.updated), 0.0);
    return meter.per_second * std::exp(-elapsed / in_seconds(rate_memory));
}

} // namespace kumquatpath
