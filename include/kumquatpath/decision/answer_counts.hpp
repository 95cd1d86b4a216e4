#ifndef KUMQUATPATH_DECISION_ANSWER_COUNTS_HPP
#define KUMQUATPATH_DECISION_ANSWER_COUNTS_HPP

/// \file
/// Which targets answer too quickly to have done the work.
///
/// Answers do not pass an instance, so a target that fails its requests looks like a very
/// fast one and would draw ever more of them. But a failure comes much sooner than an
/// answer that took work: a target with many more quick answers than its peers is passed
/// over until that is forgotten.

#include <kumquatpath/model/time.hpp>

namespace kumquatpath
{

/// The answers of one target, older ones counting less.
struct answer_counts
{
    double quick = 0;
    double total = 0;
    time_point updated_at;
};

// Queries.

/// Returns \p counts as they are at \p now.
answer_counts decayed(const answer_counts& counts, time_point now);

/// Returns the share of quick answers; 0 without any answer.
double quick_share(const answer_counts& counts);

/// Returns whether an answer after \p time is quick where \p usual is the mean. Nothing
/// is where the mean itself is short.
bool is_quick(duration time, duration mean_time);

/// Returns whether a target with \p counts fails, where \p usual_share is its peers'.
bool is_failing(const answer_counts& counts, double mean_share);

// Commands.

/// Counts an answer.
void count_answer(answer_counts& counts, bool is_quick, time_point now);

} // namespace kumquatpath

#endif
