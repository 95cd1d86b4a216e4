#ifndef KUMQUATPATH_DECISION_WAITING_ROOM_HPP
#define KUMQUATPATH_DECISION_WAITING_ROOM_HPP

/// \file
/// Openings that wait because no more of their service may be under way.
///
/// After an outage, or in a flood, more comes than the targets can work on, and what
/// waits in their queues makes everything late. So it waits here, where the newest
/// openings that can still be answered within their latency goal go first and those that
/// are late already take what is left. Of several listeners the one that has had the
/// least goes first, so a flood at one leaves the others their share. An opening that its
/// caller is about to give up is refused: it has not run, and the caller may try again.

#include <kumquatpath/decision/flow_steering.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace kumquatpath
{

/// The most openings that wait; the one that is latest makes room for a new one.
inline constexpr std::size_t most_waiting = 4096;

/// One opening that waits.
struct waiting_opening
{
    flow_packet packet;
    /// The caller's datagram as it came, and who sent it.
    std::vector<std::byte> datagram;
    endpoint source;
    /// When the caller first sent the opening.
    time_point begun;
    /// Until when it can be placed and still be answered in time.
    time_point in_time_until;
};

/// What a listener has had lately: the flows placed, older ones counting less.
struct placed_share
{
    double flows = 0;
    time_point counted_at;
};

/// All openings that wait.
struct waiting_room
{
    std::vector<waiting_opening> openings;
    /// By the listener's packed address.
    boost::unordered_flat_map<std::uint64_t, placed_share> shares;
};

/// Notes that a flow of \p listener was placed, with or without a wait.
void note_placed(waiting_room& room, const endpoint& listener, time_point now);

/// Lets \p opening wait. A copy of one that waits already takes its place. Returns the
/// one that had to make room, if any.
std::optional<waiting_opening> add_waiting(waiting_room& room, waiting_opening opening);

/// Returns the place of the opening that goes next, or nothing: one that can still be
/// answered in time, else any; of the listener that has had the least, the newest. Those
/// sent to a listener of \p full stay.
std::optional<std::size_t> next_waiting(const waiting_room& room,
                                        std::span<const endpoint> full, time_point now);

/// Takes out the opening at \p place.
waiting_opening take_waiting(waiting_room& room, std::size_t place);

/// Takes out and returns the openings that their callers are about to give up.
std::vector<waiting_opening> take_expired(waiting_room& room, time_point now);

} // namespace kumquatpath

#endif
