#ifndef KUMQUATPATH_DECISION_PEER_REPORTS_HPP
#define KUMQUATPATH_DECISION_PEER_REPORTS_HPP

/// \file
/// What peers have reported about one target.
///
/// Only a few reports are kept, each with its peer, so that one peer counts once however
/// often it reports. A speed counts only if two peers report it, so one peer that reports
/// falsely changes no speed. Reports end with their age, with the incarnation of the
/// target, with their peer, and by own evidence that is newer.

#include <kumquatpath/decision/target_speed.hpp>
#include <kumquatpath/model/fleet_message.hpp>

#include <array>

namespace kumquatpath
{

/// A doubt that rests on events older than this counts for nothing.
inline constexpr duration max_doubt_age = std::chrono::seconds(5);

/// A speed whose newest answer is older than this is not reported and counts for nothing.
inline constexpr duration max_speed_report_age = std::chrono::seconds(20);

/// The number of reports of each sort that are kept for a target. A further one takes the
/// place of the oldest.
inline constexpr std::size_t max_reports_per_target = 4;

/// The report of one peer.
struct peer_report
{
    /// The default means that the entry is free.
    instance_id peer;
    evidence_kind kind = evidence_kind::unanswered;
    /// Only for evidence_kind::speed: natural logarithm of the slowness.
    double ln_slowness = 0;
    /// When the peer saw the newest event that its report rests on.
    time_point seen_at;
};

/// The reports about one target.
struct target_peer_reports
{
    using reports = std::array<peer_report, max_reports_per_target>;

    /// Reports of unanswered openings and of quick answers.
    reports doubts;
    reports speeds;
    /// No doubt counts from then on.
    time_point doubts_until;
};

/// Own evidence that a target works.
struct own_success_times
{
    /// When the newest answered opening was sent.
    time_point opening_answered;
    /// When the newest answer came that was not too quick.
    time_point real_answer;
};

// Queries.

/// Returns how many peers doubt the target. An unanswered opening is refuted by an own
/// opening that was sent later and answered, quick answers by a later real answer.
std::uint32_t peers_reporting_doubt(const target_peer_reports& known,
                                    const own_success_times& own, time_point now);

/// Returns the longest age at which evidence of \p kind counts.
duration max_age_of(evidence_kind kind);

/// Returns the median of the reported speeds as evidence, as old as the newest of them;
/// without weight if fewer than two peers report one. Of two medians, returns the one
/// nearer to the usual speed.
speed_evidence reported_speed(const target_peer_reports& known, time_point now);

// Commands.

/// Records \p report. Does nothing if a newer one of the same peer is known.
void record_report(target_peer_reports& known, const peer_report& report);

/// Removes the reports for which \p is_ended returns true. Returns whether there were
/// any.
template <class Predicate>
bool forget_reports_if(target_peer_reports& known, const Predicate& is_ended)
{
    bool was_any = false;
    for (target_peer_reports::reports* const reports : {&known.doubts, &known.speeds})
    {
        for (peer_report& each : *reports)
        {
            if (each.peer != instance_id() && is_ended(each))
            {
                each = {};
                was_any = true;
            }
        }
    }
    return was_any;
}

} // namespace kumquatpath

#endif
