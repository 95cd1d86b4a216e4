#ifndef KUMQUATPATH_DECISION_TARGET_STATS_HPP
#define KUMQUATPATH_DECISION_TARGET_STATS_HPP

/// \file
/// What one instance has measured of targets, their services and their data centres, as
/// plain data.

#include <kumquatpath/decision/answer_counts.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>
#include <kumquatpath/decision/peer_reports.hpp>
#include <kumquatpath/decision/target_speed.hpp>
#include <kumquatpath/model/target_record.hpp>

#include <optional>

namespace kumquatpath
{

/// What follows from the measurements of one target and is kept until they change or are
/// reviewed.
struct target_estimate
{
    /// As by speed_of(); 1 unless speeds are used.
    double speed = 1;
    /// The inverse of the target's weight in a random choice while no flow of this
    /// instance is there.
    double idle_mean_draw = 1;
    /// The factor by which answers take longer than usual.
    double slowness = 1;
    bool is_outdated = true;
};

/// Measurements of one target. The members that each selection reads come first, so that
/// they share cache lines.
struct target_stats
{
    target_key key;
    std::uint64_t incarnation = 0;
    /// When this start of the target was first considered for a flow; unset: not yet.
    std::optional<time_point> known_since;
    /// Flows that this instance placed on the target and that await an answer.
    std::uint32_t in_flight = 0;
    /// Overdue openings that were sent after the newest answered one.
    std::uint32_t overdue_openings = 0;
    /// Too many of the target's answers came too quickly to be real, so it is avoided.
    bool is_failing = false;
    /// So many peers report doubts about the target that all new flows avoid it.
    bool is_avoided_by_peer_reports = false;
    target_estimate estimate;
    /// When the newest answered opening was sent.
    time_point answered_opening_sent_at;
    /// When the target last got a trial flow: a new flow that tests a suspect target.
    time_point last_trial;
    /// Smoothed time from a request to its answer; 0: no answer seen.
    double response_time_ms = 0;
    /// The answers that this instance has seen.
    answer_counts answers;
    /// Measured only with selection_options::uses_speeds.
    target_speed speed;
    /// When the newest overdue opening was sent.
    time_point overdue_opening_sent_at;
    /// When the newest quick answer, and the newest answer that was not quick, came.
    time_point quick_answer_at;
    time_point real_answer_at;
    /// What peers have reported.
    target_peer_reports peer_reports;
    /// The target is in reportable_evidence::doubted.
    bool is_listed_as_doubted = false;
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
    /// Peers report doubts about so few targets that requests that may not be repeated
    /// can do without them.
    bool may_avoid_reported = false;
    /// The number of targets with target_stats::is_avoided_by_peer_reports.
    std::uint32_t targets_avoided_by_peer_reports = 0;
    /// The number of targets that have answered requests.
    double answering_targets = 0;
    /// When it was last decided which targets are avoided.
    time_point judged_at;
    /// When all estimates of the targets were last marked as outdated.
    time_point estimated_at;
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

} // namespace kumquatpath

#endif
