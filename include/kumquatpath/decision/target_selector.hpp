#ifndef KUMQUATPATH_DECISION_TARGET_SELECTOR_HPP
#define KUMQUATPATH_DECISION_TARGET_SELECTOR_HPP

/// \file
/// Which target a new flow goes to.
///
/// An instance sees only what callers send. That is enough to judge a target: an opening
/// that it answers is followed by the caller's next packet within a round trip, and an
/// answered request by the caller's last one. A target that leaves openings unanswered is
/// passed over until one is answered; requests without their answer are its load.

#include <kumquatpath/decision/answer_counts.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>
#include <kumquatpath/decision/target_directory.hpp>

#include <vector>

namespace kumquatpath
{

/// What is seen of one target.
struct target_stats
{
    target_key key;
    std::uint64_t incarnation = 0;
    /// Flows that this instance sent there and that wait for an answer.
    std::uint32_t in_flight = 0;
    /// When the newest opening that was answered had been sent.
    time_point answered_opening_sent_at;
    /// Openings sent after the last answered one that are overdue.
    std::uint32_t overdue_openings = 0;
    /// When it was last passed a trial flow.
    time_point last_trial;
    /// Smoothed time from a request to its answer; 0: none seen.
    double response_time_ms = 0;
    /// The answers that this instance saw.
    answer_counts answers;
    /// It answers so often too quickly that it can't have worked: it is passed over.
    bool is_failing = false;
};

/// What the targets of one service have in common.
struct service_stats
{
    concurrency_limit limit;
    /// Mean of the targets' times from a request to its answer; 0: none is known.
    double mean_response_time_ms = 0;
    /// Mean of the targets' shares of quick answers.
    double quick_share = 0;
    time_point updated_at;
};

/// What is seen of all targets of one data centre together: a cut shows there first.
struct data_centre_stats
{
    /// When the newest opening that one of them answered had been sent.
    time_point answered_opening_sent_at;
    /// Openings sent after that one that are overdue.
    std::uint32_t overdue_openings = 0;
    /// When one of its suspect targets may be passed the next trial flow, and how long
    /// after that the one that follows.
    time_point next_trial;
    duration trial_interval{0};
};

/// What an instance knows of the targets' state; places are those of the directory.
struct target_selector
{
    std::vector<target_stats> stats;
    /// Smoothed time from an opening to the caller's next packet.
    double opening_ms = 0;
    /// The data centre of this instance.
    data_centre_id local_data_centre;
    boost::unordered_flat_map<data_centre_id, data_centre_stats,
                              std::hash<data_centre_id>>
        data_centres;
    boost::unordered_flat_map<service_id, service_stats, std::hash<service_id>> services;
    /// The instances that serve, this one among them.
    std::uint32_t instances = 1;
};

/// Where a new flow may go.
struct selection_request
{
    service_id service;
    /// Only targets that would work on it soon.
    bool may_wait = false;
    /// A target that did not answer this flow's opening, or none.
    const target_index* avoided = nullptr;
    /// Uniform random bits; they break ties.
    std::uint64_t random = 0;
};

// Queries.

/// Returns the target for a new flow, or null if none takes flows or, for a patient
/// request, all that do are full.
const target_index* select_target(target_selector& selector,
                                  const target_directory& directory,
                                  const selection_request& request, time_point now);

/// Returns whether openings that \p target should have answered are overdue.
bool is_suspect(const target_stats& target);

/// Returns how long an opening may stay unanswered before it is overdue.
duration opening_timeout(const target_selector& selector);

// Commands.

/// Returns the evidence of the target at \p place; it starts anew with each incarnation.
target_stats& stats_of(target_selector& selector, const target_directory& directory,
                       target_index index);

/// Notes that the target at \p place has answered an opening that was sent at \p sent.
void note_opening_answered(target_selector& selector, const target_directory& directory,
                           target_index index, time_point sent, time_point now);

/// Notes that the opening sent to the target at \p place at \p sent is overdue.
void note_opening_overdue(target_selector& selector, const target_directory& directory,
                          target_index index, time_point sent);

/// Notes that the target at \p place took \p time for a request whose latency goal is
/// \p goal.
void note_request_answered(target_selector& selector, const target_directory& directory,
                           target_index index, duration time, duration goal,
                           time_point now);

} // namespace kumquatpath

#endif
