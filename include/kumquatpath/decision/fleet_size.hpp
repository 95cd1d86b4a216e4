#ifndef KUMQUATPATH_DECISION_FLEET_SIZE_HPP
#define KUMQUATPATH_DECISION_FLEET_SIZE_HPP

/// \file
/// Estimates how many instances share a limit that the fleet must not exceed.
///
/// An instance of a large fleet knows only some instances of other data centres, and a
/// network partition hides more. The estimate therefore assumes that every known data
/// centre has as many instances as the local one, and a smaller estimate replaces a
/// larger one only after fleet_size_hold_time. It errs towards a fleet that is too large,
/// so that the share of an instance is too small rather than too large.

#include <kumquatpath/decision/fleet_peers.hpp>

namespace kumquatpath
{

/// How long an estimate holds if all later ones are smaller.
inline constexpr duration fleet_size_hold_time = std::chrono::seconds(60);

/// The current estimate.
struct fleet_size
{
    std::uint32_t instances = 1;
    /// When an estimate of at least this size was last made.
    time_point estimated_at;
};

/// Updates \p size from the peers that \p fleet knows. To be called at regular intervals.
void update_fleet_size(fleet_size& size, const fleet_peers& fleet, time_point now);

} // namespace kumquatpath

#endif
