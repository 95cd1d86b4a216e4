#include <kumquatpath/decision/slow_start.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The part that a target is given when it has shown nothing yet.
constexpr double first_part = 0.1;
/// The answers that stand for the whole warm-up.
constexpr double answers_when_warm = 100;

} // namespace

void begin(slow_start& warming, time_point now) noexcept
{
    warming = {.since = now};
}

void note_answer(slow_start& warming) noexcept
{
    warming.answers += warming.since ? 1U : 0U;
}

double weight_of(const slow_start& warming, time_point now) noexcept
{
    if (!warming.since)
    {
        return 1;
    }
    const double elapsed = std::chrono::duration<double>(now - *warming.since).count();
    const double by_time = elapsed / std::chrono::duration<double>(warm_up_time).count();
    const double by_answers = warming.answers / answers_when_warm;
    return std::clamp(std::min(by_time, by_answers), first_part, 1.0);
}

} // namespace kumquatpath
