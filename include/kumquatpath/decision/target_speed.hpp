#ifndef KUMQUATPATH_DECISION_TARGET_SPEED_HPP
#define KUMQUATPATH_DECISION_TARGET_SPEED_HPP

/// \file
/// Estimates how fast a target is in proportion to its service, from the times of its
/// answers.
///
/// Times of answers have a long tail and a target gives an instance few answers, so times
/// are compared by their logarithms, an outlier counts only up to a bound, and an
/// estimate from few answers is drawn towards the service's usual speed. Old answers lose
/// weight with newer answers and with time, so that a change of speed is followed.
///
/// Evidence that peers have reported counts beside the instance's own, with at most
/// max_reported_answers.

#include <kumquatpath/model/time.hpp>

namespace kumquatpath
{

/// The weight limit, in answers, of evidence that peers have reported.
inline constexpr double max_reported_answers = 4;

/// The lowest and highest speed that is ever estimated; the service's usual speed is 1.
inline constexpr double min_target_speed = 0.1;
inline constexpr double max_target_speed = 2;

/// What some answers show about the speed of a target.
struct speed_evidence
{
    /// Mean natural logarithm of the answers' times in multiples of the usual time.
    double ln_slowness = 0;
    /// The weight of the mean, as a number of answers; it decays with age.
    double answers = 0;
    time_point updated_at;
};

/// The evidence of one target's speed.
struct target_speed
{
    /// From answers that this instance has seen.
    speed_evidence own;
    /// From answers that peers have seen.
    speed_evidence reported;
};

/// The usual time of the answers of one service.
struct usual_answer_time
{
    /// Mean natural logarithm of the times in milliseconds, with an offset.
    double ln_time = 0;
    /// The weight of the mean, as a number of answers.
    double answers = 0;
};

// Queries.

/// Returns \p evidence with the weight that it has at \p now.
speed_evidence decayed(const speed_evidence& evidence, time_point now);

/// Returns the estimated speed of a target with the evidence \p speed, from
/// min_target_speed to max_target_speed; 1 if nothing is known.
double speed_of(const target_speed& speed, time_point now);

/// Returns the time that \p usual stands for; 0 if it rests on too few answers.
duration time_of(const usual_answer_time& usual);

// Commands.

/// Adds an answer's time to \p usual, within a bound for outliers.
void record_time(usual_answer_time& usual, duration time);

/// Records that a target with the evidence \p speed answered after \p time. The first
/// answers of a service only set \p usual.
void record_answer_time(target_speed& speed, usual_answer_time& usual, duration time,
                        time_point now);

} // namespace kumquatpath

#endif
