#include <kumquatpath/decision/target_speed.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// Evidence loses all but 1/e of its weight in this time.
constexpr duration evidence_decay_time = std::chrono::seconds(20);
/// The weight limit, in answers, of the answers before the newest one.
constexpr double max_own_answers = 8;
constexpr double max_usual_answers = 64;
/// The number of answers from which the usual time can serve for comparison.
constexpr double min_usual_answers = 8;
/// The weight, in answers, of the assumption that a target is as fast as usual.
constexpr double prior_answers = 2;
/// The largest difference between the logarithms of an answer's time and of the expected
/// time that counts; a factor of about 3.
constexpr double max_ln_deviation = 1.1;
/// Added to each time, so that differences in the network don't count as speed where
/// answers take no longer than the network.
constexpr duration time_offset = std::chrono::milliseconds(5);

double ln_of(duration time)
{
    return std::log(milliseconds_of(std::max(time, duration(0)) + time_offset));
}

/// Returns \p value, or the nearest value that differs from \p expected by no more than
/// max_ln_deviation.
double without_outlier(double value, double expected)
{
    return std::clamp(value, expected - max_ln_deviation, expected + max_ln_deviation);
}

} // namespace

speed_evidence decayed(const speed_evidence& evidence, time_point now)
{
    if (evidence.answers == 0)
    {
        return {.updated_at = now};
    }
    const double age = milliseconds_of(std::max(now - evidence.updated_at, duration(0)));
    const double factor = std::exp(-age / milliseconds_of(evidence_decay_time));
    return {.ln_slowness = evidence.ln_slowness,
            .answers = evidence.answers * factor,
            .updated_at = now};
}

double speed_of(const target_speed& speed, time_point now)
{
    const speed_evidence own = decayed(speed.own, now);
    const speed_evidence reported = decayed(speed.reported, now);
    const double reported_answers = std::min(reported.answers, max_reported_answers);
    const double total =
        own.answers * own.ln_slowness + reported_answers * reported.ln_slowness;
    const double ln_slowness = total / (own.answers + reported_answers + prior_answers);
    return std::clamp(std::exp(-ln_slowness), min_target_speed, max_target_speed);
}

duration time_of(const usual_answer_time& usual)
{
    if (usual.answers < min_usual_answers)
    {
        return duration(0);
    }
    return std::max(from_milliseconds(std::exp(usual.ln_time)) - time_offset,
                    duration(0));
}

void record_time(usual_answer_time& usual, duration time)
{
    const double sample = ln_of(time);
    const double expected = usual.answers == 0 ? sample : usual.ln_time;
    usual.answers = std::min(usual.answers + 1, max_usual_answers);
    usual.ln_time =
        expected + (without_outlier(sample, expected) - expected) / usual.answers;
}

void record_answer_time(target_speed& speed, usual_answer_time& usual, duration time,
                        time_point now)
{
    record_time(usual, time);
    if (usual.answers < min_usual_answers)
    {
        return;
    }
    speed_evidence& own = speed.own;
    own = decayed(own, now);
    own.answers = std::min(own.answers, max_own_answers - 1) + 1;
    const double slowness = without_outlier(ln_of(time) - usual.ln_time, own.ln_slowness);
    own.ln_slowness += (slowness - own.ln_slowness) / own.answers;
}

} // namespace kumquatpath
