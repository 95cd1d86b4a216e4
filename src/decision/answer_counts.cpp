#include <kumquatpath/decision/answer_counts.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// The time in which a count decays to 1/e, about a third.
constexpr duration decay_time = std::chrono::seconds(12);
/// An answer is quick if it took less than this fraction of the mean response time.
constexpr double quick_fraction = 0.1;
/// Below this mean response time, a failure can't be told apart from a processed request.
constexpr duration min_mean_time = std::chrono::milliseconds(30);
/// The suspicion of a failing target. It exceeds 2, so two quick answers never suffice.
constexpr double min_suspicion = 2.6;
/// By how much an answer that took work lowers the suspicion, as a fraction of what a
/// quick one adds. Requests that need almost no work get quick answers from sound
/// targets, too, but few in a row.
constexpr double suspicion_per_real_answer = 0.4;
/// The decayed count of quick answers from which a target is doubtful: one quick answer
/// counts for about 8 s.
constexpr double min_doubtful_answers = 0.5;
/// By how much a failing or doubtful target exceeds the mean share of quick answers.
constexpr double quick_share_margin = 0.15;

bool has_high_share(const answer_counts& counts, double mean_share)
{
    return quick_share(counts) > mean_share + quick_share_margin;
}

} // namespace

answer_counts decayed(const answer_counts& counts, time_point now)
{
    const double age = milliseconds_of(now - counts.updated_at);
    const double factor = std::exp(-age / milliseconds_of(decay_time));
    return {.quick = counts.quick * factor,
            .total = counts.total * factor,
            .suspicion = counts.suspicion * factor,
            .updated_at = now};
}

double quick_share(const answer_counts& counts)
{
    return counts.total > 0 ? counts.quick / counts.total : 0;
}

duration time_to_compare(duration mean_time, duration usual_time)
{
    // The mean stays long for many answers after an outage, whose first requests take
    // very long. The usual time follows sooner.
    return usual_time == duration(0)
               ? mean_time
               : std::min(mean_time, std::max(usual_time, min_mean_time));
}

bool is_quick(duration time, duration mean_time)
{
    return mean_time >= min_mean_time &&
           milliseconds_of(time) < quick_fraction * milliseconds_of(mean_time);
}

bool is_failing(const answer_counts& counts, double mean_share)
{
    return counts.suspicion >= min_suspicion && has_high_share(counts, mean_share);
}

bool has_doubtful_answers(const answer_counts& counts, double mean_share, time_point now)
{
    // Counts only decay, and most targets have no quick answers.
    return counts.quick >= min_doubtful_answers && has_high_share(counts, mean_share) &&
           decayed(counts, now).quick >= min_doubtful_answers;
}

void count_answer(answer_counts& counts, bool is_quick, time_point now)
{
    counts = decayed(counts, now);
    counts.quick += is_quick ? 1 : 0;
    counts.total += 1;
    counts.suspicion = is_quick
                           ? counts.suspicion + 1
                           : std::max(counts.suspicion - suspicion_per_real_answer, 0.0);
}

} // namespace kumquatpath
