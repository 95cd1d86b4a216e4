#ifndef KUMQUATPATH_DECISION_OPENING_QUEUE_HPP
#define KUMQUATPATH_DECISION_OPENING_QUEUE_HPP

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
inline constexpr std::size_t max_queued_openings = 4096;

/// One opening that waits.
struct queued_opening
{
    flow_packet packet;
    /// The caller's datagram as it came, and who sent it.
    std::vector<std::byte> datagram;
    endpoint source;
    /// When the caller first sent the opening.
    time_point first_sent_at;
    /// Until when it can be placed and still be answered in time.
    time_point placement_deadline;
};

/// What a listener has had lately: the flows placed, older ones counting less.
struct listener_share
{
    double placed_flows = 0;
    time_point updated_at;
};

/// All openings that wait.
struct opening_queue
{
    std::vector<queued_opening> openings;
    /// By the listener's packed address.
    boost::unordered_flat_map<std::uint64_t, listener_share> shares;
};

/// Notes that a flow of \p listener was placed, with or without a wait.
void note_placement(opening_queue& queue, const endpoint& listener, time_point now);

/// Lets \p opening wait. A copy of one that waits already takes its place. Returns the
/// one that had to make room, if any.
std::optional<queued_opening> add_opening(opening_queue& queue, queued_opening opening);

/// Returns the place of the opening that goes next, or nothing: one that can still be
/// answered in time, else any; of the listener that has had the least, the newest. Those
/// sent to a listener of \p full stay.
std::optional<std::size_t> next_opening(const opening_queue& queue,
                                        std::span<const endpoint> full_listeners,
                                        time_point now);

/// Takes out the opening at \p place.
queued_opening take_opening(opening_queue& queue, std::size_t index);

/// Takes out and returns the openings that their callers are about to give up.
std::vector<queued_opening> take_expired(opening_queue& queue, time_point now);

} // namespace kumquatpath

#endif
