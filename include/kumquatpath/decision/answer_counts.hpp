#ifndef KUMQUATPATH_DECISION_ANSWER_COUNTS_HPP
#define KUMQUATPATH_DECISION_ANSWER_COUNTS_HPP

/// \file
/// Detects targets that answer too quickly to have processed their requests.
///
/// Answers go from the target to the caller without passing an instance (direct server
/// return), so an instance does not see failures. A target that fails its requests at
/// once looks very fast and would attract more and more flows. A failure takes much less
/// time than a processed request, so a target with several quick answers close together,
/// and a far larger share of them than the other targets of its service, is avoided until
/// the suspicion has decayed.

#include <kumquatpath/model/time.hpp>

namespace kumquatpath
{

/// Counts of the answers of one target; they decay exponentially with age.
struct answer_counts
{
    double quick = 0;
    double total = 0;
    /// How many more quick answers came lately than chance explains. Earlier answers that
    /// took work do not lower it below 0, so a target that begins to fail is noticed as
    /// soon as a new one.
    double suspicion = 0;
    time_point updated_at;
};

// Queries.

/// Returns \p counts decayed to \p now.
answer_counts decayed(const answer_counts& counts, time_point now);

/// Returns the share of quick answers, from 0 to 1; 0 if there are no answers.
double quick_share(const answer_counts& counts);

/// Returns the time that answers are compared with to find the quick ones, given the mean
/// and the usual response time of a service; a usual time of 0 is unknown.
duration time_to_compare(duration mean_time, duration usual_time);

/// Returns whether an answer that took \p time is quick for a service with the mean
/// response time \p mean_time. No answer is quick if the mean itself is short.
bool is_quick(duration time, duration mean_time);

/// Returns whether a target with \p counts is failing, given the mean share of quick
/// answers of its service's targets, \p mean_share.
bool is_failing(const answer_counts& counts, double mean_share);

/// Returns whether the answers in \p counts are at \p now a reason to doubt that the
/// target processes its requests, though they are too few to call it failing.
bool has_doubtful_answers(const answer_counts& counts, double mean_share, time_point now);

// Commands.

/// Decays \p counts to \p now and adds one answer.
void count_answer(answer_counts& counts, bool is_quick, time_point now);

} // namespace kumquatpath

#endif
