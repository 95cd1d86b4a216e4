#ifndef KUMQUATPATH_DECISION_TARGET_STATS_HPP
#define KUMQUATPATH_DECISION_TARGET_STATS_HPP

/// \file
/// What one instance measures about targets, their services and their data centres.
///
/// An instance sees only the packets of callers, which is enough to measure a target. An
/// opening that the target answers is followed by the caller's next packet within a round
/// trip, and an answered request by another packet of the caller. Unanswered requests
/// count as the load of a target.

#include <kumquatpath/decision/answer_counts.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>
#include <kumquatpath/decision/peer_reports.hpp>
#include <kumquatpath/decision/target_directory.hpp>
#include <kumquatpath/decision/target_speed.hpp>
#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <optional>
#include <vector>

namespace kumquatpath
{

/// No opening may stay unanswered for longer before it is overdue.
inline constexpr duration max_opening_timeout = std::chrono::milliseconds(180);

/// Measurements of one target.
struct target_stats
{
    target_key key;
    std::uint64_t incarnation = 0;
    /// When this start of the target was first considered for a flow; unset: not yet.
    std::optional<time_point> known_since;
    /// Flows that this instance placed on the target and that await an answer.
    std::uint32_t in_flight = 0;
    /// When the newest answered opening was sent.
    time_point answered_opening_sent_at;
    /// Overdue openings that were sent after the newest answered one.
    std::uint32_t overdue_openings = 0;
    /// When the target last got a trial flow: a new flow that tests a suspect target.
    time_point last_trial;
    /// Smoothed time from a request to its answer; 0: no answer seen.
    double response_time_ms = 0;
    /// The answers that this instance has seen.
    answer_counts answers;
    /// Measured only with selection_options::uses_speeds.
    target_speed speed;
    /// Too many of the target's answers came too quickly to be real, so it is avoided.
    bool is_failing = false;
    /// When the newest overdue opening was sent.
    time_point overdue_opening_sent_at;
    /// When the newest quick answer, and the newest answer that was not quick, came.
    time_point quick_answer_at;
    time_point real_answer_at;
    /// What peers have reported.
    target_peer_reports peer_reports;
    /// As many peers doubt the target as all new flows heed.
    bool is_avoided_by_peer_reports = false;
};

/// Measurements of all targets of one service.
struct service_stats
{
    concurrency_limit limit;
    usual_answer_time usual_time;
    /// The usual time of all answers, quick ones included.
    usual_answer_time usual_time_of_all;
    /// Smoothed share of the healthy targets' slots that are in use, as far as this
    /// instance can tell from its own flows.
    double utilization = 0;
    /// When a request that may be repeated last asked for a target; unset: never.
    std::optional<time_point> repeatable_seen_at;
    /// Mean of the targets' response times; 0: none is known.
    double mean_response_time_ms = 0;
    /// Mean of the targets' shares of quick answers.
    double quick_share = 0;
    /// So few targets are unproven that requests that may not be repeated can do without
    /// them.
    bool may_avoid_unproven = false;
    /// So few targets are doubted by peers that requests that may not be repeated can do
    /// without them.
    bool may_avoid_doubted = false;
    /// The number of targets with target_stats::is_avoided_by_peer_reports.
    std::uint32_t targets_avoided_by_peer_reports = 0;
    time_point updated_at;
};

/// Measurements of all targets of one data centre; a network partition shows up here
/// first.
struct data_centre_stats
{
    /// When the newest opening that one of the targets answered was sent.
    time_point answered_opening_sent_at;
    /// Overdue openings that were sent after the newest answered one.
    std::uint32_t overdue_openings = 0;
    /// When one of the suspect targets may get the next trial flow.
    time_point next_trial;
    /// The interval between the last trial flow and next_trial; it doubles, within
    /// bounds, with each trial flow.
    duration trial_interval{0};
};

/// How targets are selected.
struct selection_options
{
    /// New flows go to the targets in proportion to their estimated speeds, and the
    /// number of flows that a target may hold follows its speed. Otherwise they go to the
    /// target with the least expected wait.
    bool uses_speeds = false;
    /// Evidence about targets is reported to local peers, and theirs is used.
    bool uses_peer_evidence = false;
};

/// The state of target selection of one instance.
struct target_selector
{
    /// By the targets' index in the directory.
    std::vector<target_stats> stats;
    selection_options options;
    /// Smoothed time from an opening to the caller's next packet; 0: none measured.
    double opening_ms = 0;
    /// The data centre of this instance.
    data_centre_id local_data_centre;
    boost::unordered_flat_map<data_centre_id, data_centre_stats,
                              std::hash<data_centre_id>>
        data_centres;
    boost::unordered_flat_map<service_id, service_stats, std::hash<service_id>> services;
    /// Number of instances that serve, including this one.
    std::uint32_t instances = 1;
    /// Number of flows that may not be repeated and were placed on a target that is not
    /// sound.
    std::uint64_t flows_placed_at_risk = 0;
    warm_up_allowance warm_up;
};

// Queries.

/// Returns whether \p id is suspect because too many openings to its targets are overdue.
bool is_data_centre_suspect(const target_selector& selector, data_centre_id id);

/// Returns whether there is a reason to keep requests that may not be repeated away from
/// the target of \p stats, though it is healthy: it has not been known for long, its
/// newest opening is overdue, or it gave answers that were too quick. \p mean_quick_share
/// is that of its service.
bool is_unproven(const target_stats& stats, double mean_quick_share, time_point now);

/// Returns how much reason peers and an own overdue opening give to doubt the target of
/// \p stats: one for each peer, and one for the opening if a peer doubts as well.
std::uint32_t doubts_about(const target_stats& stats, time_point now);

/// Returns whether \p target is suspect because too many of its openings are overdue.
bool is_suspect(const target_stats& target);

/// Returns how long an opening may stay unanswered before it is overdue.
duration opening_timeout(const target_selector& selector);

// Commands.

/// Returns the measurements of the target at \p index. They are reset if the index now
/// belongs to another target; a new incarnation of the target resets its health and
/// speed.
target_stats& stats_of(target_selector& selector, const target_directory& directory,
                       target_index index);

/// Records that the target at \p index has answered an opening that was sent at \p sent.
void record_opening_answered(target_selector& selector, const target_directory& directory,
                             target_index index, time_point sent, time_point now);

/// Records that an opening sent to the target at \p index at \p sent is overdue.
void record_opening_overdue(target_selector& selector, const target_directory& directory,
                            target_index index, time_point sent);

/// Records that the target at \p index took \p time for a request with the latency goal
/// \p goal.
void record_request_answered(target_selector& selector, const target_directory& directory,
                             target_index index, duration time, duration goal,
                             time_point now);

/// Updates the means of \p service from its targets, \p candidates, if that is due, and
/// detects which of them are failing and whether the unproven ones can be done without.
/// If most are, the cause is not in the targets alone and none is avoided.
void update_service_stats(target_selector& selector, const target_directory& directory,
                          service_stats& service,
                          std::span<const target_index> candidates, time_point now);

} // namespace kumquatpath

#endif
