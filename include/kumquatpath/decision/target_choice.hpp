#ifndef KUMQUATPATH_DECISION_TARGET_CHOICE_HPP
#define KUMQUATPATH_DECISION_TARGET_CHOICE_HPP

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
struct target_evidence
{
    target_key key;
    std::uint64_t incarnation = 0;
    /// Flows that this instance sent there and that wait for an answer.
    std::uint32_t busy = 0;
    /// When the newest opening that was answered had been sent.
    time_point answered_opening;
    /// Openings sent after the last answered one that are overdue.
    std::uint32_t overdue = 0;
    /// When it was last passed a trial flow.
    time_point last_trial;
    /// Smoothed time from a request to its answer; 0: none seen.
    double service_ms = 0;
    /// The answers that this instance saw.
    answer_counts answers;
    /// It answers so often too quickly that it can't have worked: it is passed over.
    bool is_failing = false;
};

/// What the targets of one service have in common.
struct service_evidence
{
    concurrency_limit limit;
    /// Mean of the targets' times from a request to its answer; 0: none is known.
    double mean_ms = 0;
    /// Mean of the targets' shares of quick answers.
    double quick_share = 0;
    time_point summed_at;
};

/// What is seen of all targets of one data centre together: a cut shows there first.
struct data_centre_evidence
{
    /// When the newest opening that one of them answered had been sent.
    time_point answered_opening;
    /// Openings sent after that one that are overdue.
    std::uint32_t overdue = 0;
    /// When one of its suspect targets may be passed the next trial flow, and how long
    /// after that the one that follows.
    time_point next_trial;
    duration trial_interval{0};
};

/// What an instance knows of the targets' state; places are those of the directory.
struct target_choice
{
    std::vector<target_evidence> evidence;
    /// Smoothed time from an opening to the caller's next packet.
    double opening_ms = 0;
    /// The data centre of this instance.
    data_centre_id home;
    boost::unordered_flat_map<data_centre_id, data_centre_evidence,
                              std::hash<data_centre_id>>
        data_centres;
    boost::unordered_flat_map<service_id, service_evidence, std::hash<service_id>>
        services;
    /// The instances that serve, this one among them.
    std::uint32_t instances = 1;
};

/// Where a new flow may go.
struct choice_request
{
    service_id service;
    /// Only targets that would work on it soon.
    bool is_patient = false;
    /// A target that did not answer this flow's opening, or none.
    const target_index* avoided = nullptr;
    /// Uniform random bits; they break ties.
    std::uint64_t random = 0;
};

// Queries.

/// Returns the target for a new flow, or null if none takes flows or, for a patient
/// request, all that do are full.
const target_index* choose_target(target_choice& choice,
                                  const target_directory& directory,
                                  const choice_request& request, time_point now);

/// Returns whether openings that \p target should have answered are overdue.
bool is_suspect(const target_evidence& target);

/// Returns how long an opening may stay unanswered before it is overdue.
duration opening_patience(const target_choice& choice);

// Commands.

/// Returns the evidence of the target at \p place; it starts anew with each incarnation.
target_evidence& evidence_of(target_choice& choice, const target_directory& directory,
                             target_index place);

/// Notes that the target at \p place has answered an opening that was sent at \p sent.
void note_answered(target_choice& choice, const target_directory& directory,
                   target_index place, time_point sent, time_point now);

/// Notes that the opening sent to the target at \p place at \p sent is overdue.
void note_overdue(target_choice& choice, const target_directory& directory,
                  target_index place, time_point sent);

/// Notes that the target at \p place took \p time for a request whose latency goal is
/// \p goal.
void note_served(target_choice& choice, const target_directory& directory,
                 target_index place, duration time, duration goal, time_point now);

} // namespace kumquatpath

#endif
