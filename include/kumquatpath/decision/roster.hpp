#ifndef KUMQUATPATH_DECISION_ROSTER_HPP
#define KUMQUATPATH_DECISION_ROSTER_HPP

/// \file
/// The roster: the agreed, versioned list of instances that hold the claims of
/// submissions.
///
/// Guarantee: two instances for which may_decide() is true at any two times less than
/// roster_options::longest_keep apart use quorums that intersect, for every key. This
/// rests on three rules. A version counts only while a majority of its holders was heard
/// at it within the view lease. The first time of a version is joint: a quorum is a
/// majority of the holders of both the old and the new version. The joint time ends only
/// when a majority of the old holders follows the new version and `transition` has passed
/// since, by when no instance can still count on the old version alone.
///
/// Failure: while fewer holders than a majority are heard, nothing may be decided. See
/// design/leadership.md.

#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/peer_message.hpp>
#include <kumquatpath/model/time.hpp>

#include <optional>
#include <vector>

namespace kumquatpath
{

/// One version of the list of claim holders.
struct roster
{
    roster_version version;
    /// The holders of this version, in ascending order.
    std::vector<instance_id> holders;
    /// The holders of the version before; empty in the first version.
    std::vector<instance_id> previous;

    friend bool operator==(const roster&, const roster&) = default;
};

/// The times that the safety of the roster rests on. They are the same on all instances.
struct roster_options
{
    /// How long a holder's announcement of its version counts.
    duration view_lease = std::chrono::seconds{3};
    /// The longest time in which a copy of one submission may still arrive.
    duration longest_keep = std::chrono::seconds{12};
    /// How long a version stays joint once a majority of the old holders follows it: more
    /// than the view lease, the longest keep and the longest delay of a message together.
    duration transition = std::chrono::seconds{20};
    /// A longer time between two ticks means that the instance was paused.
    duration longest_gap = std::chrono::seconds{1};
    /// After a pause, announcements are ignored for this long: they may have waited in a
    /// buffer all through the pause.
    duration settle_time = std::chrono::milliseconds{500};
};

/// The newest version that one holder is known to follow.
struct roster_sighting
{
    instance_id instance;
    roster_version version;
    time_point heard{};
};

/// Where an instance learnt a roster.
enum class roster_source : std::uint8_t
{
    /// Read from the platform's store, which never goes back.
    store,
    /// Told by another instance, which may itself be behind.
    peer,
};

/// What one instance knows of the roster.
struct roster_view
{
    roster_options options;
    instance_id self;
    /// When this incarnation started; what earlier ones held is lost.
    time_point started{};
    roster current;
    /// Whether the store has named the version since this incarnation started, or a
    /// majority of the other holders has once the instance had a whole memory again.
    bool is_confirmed = false;
    std::vector<roster_sighting> sightings;
    /// When a majority of the old holders was first known to follow the current version.
    std::optional<time_point> followed_since;
    time_point last_tick{};
    time_point deaf_until{};
};

/// The holders of one key, each list in the order of their ranks.
struct holder_sets
{
    std::vector<instance_id> current;
    /// Empty unless the version is joint.
    std::vector<instance_id> previous;
};

/// The count of holders of one key; two of them are a majority.
inline constexpr std::size_t holders_per_key = 3;

/// Returns the smallest count that is more than half of \p size.
constexpr std::size_t majority_of(std::size_t size) noexcept
{
    return size / 2 + 1;
}

/// Returns the knowledge of an instance that starts at \p now.
roster_view start_roster_view(const roster_options& options, instance_id self,
                              time_point now);

/// Takes \p newer into force unless a newer version is; returns whether it was taken.
bool learn_roster(roster_view& view, const roster& newer, roster_source source,
                  time_point now);

/// Notes that \p from announced \p version in a heartbeat.
void hear_roster_version(roster_view& view, instance_id from, roster_version version,
                         time_point now);

/// Notes the passing of time; a long gap since the last call shows a pause.
void tick_roster(roster_view& view, time_point now);

/// Returns the version to announce in heartbeats; 0 until the version is confirmed, so
/// that a restarted instance never stands for a version that it had already left.
roster_version announced_version(const roster_view& view);

/// Returns whether this instance may hold and coordinate claims: it has outlived what an
/// earlier incarnation may have held, it was not paused, and a majority follows its
/// version.
bool may_decide(const roster_view& view, time_point now);

/// Returns whether this instance still remembers every claim that it granted.
bool has_whole_memory(const roster_view& view, time_point now);

/// Returns whether quorums need both the old and the new holders at \p now.
bool is_joint(const roster_view& view, time_point now);

/// Returns the holders of \p key at \p now, by rendezvous hashing.
holder_sets holders_of(const roster_view& view, const submission_key& key,
                       time_point now);

} // namespace kumquatpath

#endif
