#ifndef KUMQUATPATH_DECISION_TARGET_SELECTOR_STATE_HPP
#define KUMQUATPATH_DECISION_TARGET_SELECTOR_STATE_HPP

/// \file
/// The state of target selection: the measurements, what follows from them, and options.

#include <kumquatpath/decision/remote_placement.hpp>
#include <kumquatpath/decision/target_stats.hpp>
#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <vector>

namespace kumquatpath
{

/// What this instance may report about targets to its peers.
struct reportable_evidence
{
    /// Targets that had an overdue opening or a quick answer since the last review, and
    /// those of \c doubts.
    std::vector<target_index> doubted;
    /// One for each doubted target, as of the last review.
    std::vector<target_evidence> doubts;
    /// Targets whose speed is known, as of measured_at.
    std::vector<target_index> measured;
    /// The number of targets that take new flows, as of measured_at.
    std::size_t usable_targets = 0;
    time_point measured_at;
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
    /// With uses_speeds: flows leave the local data centre by measured times; see
    /// remote_placement.hpp. Otherwise by a fixed cost.
    bool measures_distance = false;
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
    reportable_evidence reportable;
    /// Used only with selection_options::measures_distance.
    remote_placement remote;
};

} // namespace kumquatpath

#endif
