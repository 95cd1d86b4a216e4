#include <kumquatpath/decision/answer_counts.hpp>

#include <cmath>

namespace kumquatpath
{
namespace
{

/// The time in which an answer comes to count a third.
constexpr duration memory = std::chrono::seconds(12);
constexpr double quick_part = 0.1;
/// Shorter times can't be told apart.
constexpr duration least_usual = std::chrono::milliseconds(30);
constexpr double least_quick = 2.6;
constexpr double share_above_usual = 0.15;

} // namespace

answer_counts faded(const answer_counts& counts, time_point now)
{
    const double age = milliseconds_of(now - counts.counted_at);
    const double factor = std::exp(-age / milliseconds_of(memory));
    return {
        .quick = counts.quick * factor, .all = counts.all * factor, .counted_at = now};
}

double quick_share(const answer_counts& counts)
{
    return counts.all > 0 ? counts.quick / counts.all : 0;
}

bool is_quick(duration time, duration usual)
{
    return usual >= least_usual &&
           milliseconds_of(time) < quick_part * milliseconds_of(usual);
}

bool is_failing(const answer_counts& counts, double usual_share)
{
    return counts.quick >= least_quick &&
           quick_share(counts) > usual_share + share_above_usual;
}

void count_answer(answer_counts& counts, bool is_quick, time_point now)
{
    counts = faded(counts, now);
    counts.quick += is_quick ? 1 : 0;
    counts.all += 1;
}

} // namespace kumquatpath
