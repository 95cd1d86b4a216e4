#ifndef KUMQUATPATH_DECISION_TARGET_EVIDENCE_HPP
#define KUMQUATPATH_DECISION_TARGET_EVIDENCE_HPP

/// \file
/// Which evidence about targets an instance reports in its heartbeats to local peers, and
/// what it accepts of theirs.
///
/// An instance reports only what it has seen itself, so no report circulates. It reports
/// no unanswered openings of a data centre that looks suspect to it, and no doubts while
/// the fabric rehashes flows or while it doubts many targets: the cause is then more
/// likely near the instance than in the targets. What reports lead to is decided with the
/// other measurements; see review_service().

#include <kumquatpath/decision/fleet_peers.hpp>
#include <kumquatpath/decision/flow_steering.hpp>

#include <array>

namespace kumquatpath
{

/// The maximum number of entries in one heartbeat. Further ones are dropped by the
/// receiver.
inline constexpr std::size_t max_evidence_per_heartbeat = 6;

/// A large fleet sends heartbeats more often, with fewer entries.
inline constexpr std::size_t max_evidence_per_heartbeat_in_large_fleet = 2;

/// One step of the level of evidence_kind::speed.
inline constexpr double ln_slowness_step = 0.02;
/// The highest level of a speed, up or down: a factor of 10.
inline constexpr int max_speed_level = 115;

/// Why an entry of a peer is dropped.
enum class evidence_drop : std::uint8_t
{
    /// The kind or the level is out of range.
    malformed,
    /// Beyond max_evidence_per_heartbeat.
    too_many,
    /// The heartbeat has another entry of that kind about the target.
    contradictory,
    /// The sender is in another data centre.
    remote,
    too_old,
    unknown_target,
    other_incarnation,
};

/// The number of enumerators of evidence_drop.
inline constexpr std::size_t evidence_drop_count = 7;

/// What became of the evidence that was sent and received.
struct evidence_counts
{
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    /// By evidence_drop.
    std::array<std::uint64_t, evidence_drop_count> dropped{};
};

/// The extent of a report.
struct evidence_request
{
    std::size_t max_count = max_evidence_per_heartbeat;
    /// Uniform random bits, which select among the entries if there are too many.
    std::uint64_t random = 0;
};

// Queries.

/// Returns a hash of \p incarnation that tells it from the next one.
std::uint16_t incarnation_check(std::uint64_t incarnation);

/// Returns the evidence of this instance to report, as of the last
/// review_evidence_to_report(): the newest doubt, then other doubts, then speeds.
std::vector<target_evidence> evidence_to_report(const flow_steering& steering,
                                                const target_directory& directory,
                                                const evidence_request& request,
                                                time_point now);

/// Returns the name of \p reason for metrics and logs.
std::string_view to_string(evidence_drop reason) noexcept;

// Commands.

/// Looks for evidence to report; to be called before each evidence_to_report(). Doubts
/// are found at once; all targets are looked through for known speeds only at intervals,
/// see review_interval().
void review_evidence_to_report(target_selector& selector,
                               const target_directory& directory, time_point now);

/// Records \p evidence, which a heartbeat of \p peer carried, and counts it.
void record_evidence(target_selector& selector, const target_directory& directory,
                     const fleet_peer& peer, std::span<const target_evidence> evidence,
                     evidence_counts& counts, time_point now);

/// Removes the reports of \p peer.
void forget_evidence_of(target_selector& selector, instance_id peer, time_point now);

/// Removes the reports that are too old to count or whose peers are not live in \p fleet.
void forget_silent_evidence(target_selector& selector, const fleet_peers& fleet,
                            time_point now);

} // namespace kumquatpath

#endif
