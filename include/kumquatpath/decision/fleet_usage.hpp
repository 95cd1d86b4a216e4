#ifndef KUMQUATPATH_DECISION_FLEET_USAGE_HPP
#define KUMQUATPATH_DECISION_FLEET_USAGE_HPP

/// \file
/// The share of the fleet's limits that one instance may use, without a central counter.
///
/// Packets are sprayed over the instances, so each sees a fair sample of all traffic. Its
/// share is its own offered rate over that of the fleet, which is estimated from the
/// ratio between what peers tell in their heartbeats and what it sees itself. The state
/// is a few numbers, however large the fleet. Late and lost heartbeats only slow the
/// estimate. An instance that hears nobody takes no more than an even share of the
/// largest fleet that it knew.

#include <kumquatpath/decision/member_view.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstddef>
#include <optional>

namespace kumquatpath
{

/// The place of one instance among its peers.
struct fleet_usage
{
    /// The count of instances that share the limits.
    std::size_t instances = 1;
    /// The place of this instance in the order of ids, from 0.
    std::size_t rank = 0;
    /// When a shrinking view was first taken for a cut; empty when there is none.
    std::optional<time_point> cut_since;
    /// A peer's offered rate over the own, smoothed over the peers' heartbeats.
    double peer_ratio = 1;
    /// When a peer last told of its usage.
    std::optional<time_point> last_heard;
};

/// Takes over the count of live instances. A view that loses half of its members or more
/// at once is taken for a cut of this instance, and the old count stays for ten minutes.
void note_members(fleet_usage& fleet, const member_view& view, time_point now);

/// Notes that a peer offers \p peer_rate where this instance offers \p own_rate, both in
/// requests a second over the same work.
void note_peer_rate(fleet_usage& fleet, double peer_rate, double own_rate,
                    time_point now) noexcept;

/// Returns the share of a fleet's limit that this instance may use: within a factor of 2
/// of the even share, and at most the even share when no peer was heard for 3 s.
double fleet_share(const fleet_usage& fleet, time_point now) noexcept;

/// Returns a fraction in [0, 1) for \p key on this instance. The fractions of the
/// instances of one fleet are spread evenly, so that `floor(x + dither(...))`, summed
/// over the fleet, misses the sum of all x by less than 1.
double dither(const fleet_usage& fleet, std::uint64_t key) noexcept;

} // namespace kumquatpath

#endif
