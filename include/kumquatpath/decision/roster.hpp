#ifndef KUMQUATPATH_DECISION_ROSTER_HPP
#define KUMQUATPATH_DECISION_ROSTER_HPP

/// \file
/// The roster: the agreed, versioned list of instances that hold the claims of
/// submissions.
///
/// Guarantee: two instances for which may_decide() is true at any two times less than
/// roster_options::longest_keep apart use quorums that intersect, for every key. This
/// rests on three rules. A version counts only while a majority of its holders was heard
/// at it within the view lease, and only within the store lease. The first time of a
/// version is joint: a quorum is a majority of the holders of both the old and the new
/// version. The joint time ends when a majority of the old holders has followed the new
/// version for the transition time, or when the store lease has passed; by then no
/// instance can still count on the old version alone.
///
/// Failures: while fewer holders than a majority are heard, nothing may be decided. When
/// a majority of the holders is gone for good at once, keys of theirs are undecided until
/// the store lease has passed. See design/leadership.md.

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
    /// The holders of the version before; empty in the first version, and in any version
    /// once some instance found that they no longer count.
    std::vector<instance_id> previous;

    friend bool operator==(const roster&, const roster&) = default;
};

/// The times that the safety of the roster rests on. They are the same on all instances.
struct roster_options
{
    /// How long a holder's announcement of its version counts.
    duration view_lease = std::chrono::seconds{3};
    /// How long an instance goes on deciding without a word from the store; the longest
    /// outage of the store that submissions survive.
    duration store_lease = std::chrono::hours{2};
    /// The longest time in which a copy of one submission may still arrive.
    duration longest_keep = std::chrono::seconds{14};
    /// How long the advance vote of a holder counts at most; see claim.hpp.
    duration vote_lease = std::chrono::seconds{4};
    /// How long a version stays joint once a majority of the old holders follows it: more
    /// than the view lease, the longest keep and the longest delay of a message together.
    duration transition = std::chrono::seconds{20};
    /// A longer time between two ticks means that the instance was paused.
    duration longest_gap = std::chrono::milliseconds{500};
    /// The longest time that a notice spends on its way.
    duration longest_delay = std::chrono::seconds{1};
    /// After a pause, announcements and submissions are ignored for this long: they may
    /// have waited in a buffer all through the pause.
    duration settle_time = std::chrono::milliseconds{500};
};

/// The newest version that one holder is known to follow.
struct roster_sighting
{
    instance_id instance;
    roster_version version;
    time_point heard{};
};

/// What one instance tells another that is behind, also while the store is away.
struct roster_notice
{
    roster value;
    /// The time since the store was asked and named the value.
    duration store_word_age{};
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
    /// When the store was last asked and named the current version.
    std::optional<time_point> store_word;
    /// When the current version was learnt.
    time_point learned_at{};
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

/// Returns what to tell a peer that announced an older version; nothing when this
/// instance has no word of the store to pass on.
std::optional<roster_notice> notice_of(const roster_view& view, time_point now);

/// Takes the roster that a peer told of into force unless a newer version is. Returns
/// whether it was taken. The peer's word of the store counts here as well, by its age.
bool learn_roster_from_peer(roster_view& view, const roster_notice& notice,
                            time_point now);

/// Takes \p newer, which the store held at some time after \p asked_at, into force unless
/// a newer version is. Returns whether it was taken.
bool learn_roster_from_store(roster_view& view, const roster& newer, time_point asked_at,
                             time_point now);

/// Notes that \p from announced \p version in a heartbeat.
void hear_roster_version(roster_view& view, instance_id from, roster_version version,
                         time_point now);

/// Notes the passing of time; a long gap since the last call shows a pause.
void tick_roster(roster_view& view, time_point now);

/// Returns the version to announce in heartbeats; 0 until the version is confirmed, so
/// that a restarted instance never stands for a version that it had already left.
roster_version announced_version(const roster_view& view);

/// Returns whether this instance may coordinate claims: it has outlived what an earlier
/// incarnation may have held, it was not paused, the store named its version within the
/// store lease, and a majority follows the version.
bool may_decide(const roster_view& view, time_point now);

/// Returns whether what arrives at \p now may have waited through a pause.
bool may_be_stale(const roster_view& view, time_point now);

/// Returns whether this instance still remembers every claim that it granted.
bool has_whole_memory(const roster_view& view, time_point now);

/// Returns whether this instance still remembers every vote that it gave in advance.
bool remembers_advance_votes(const roster_view& view, time_point now);

/// Returns whether a planned stop would take no vote away: the instance is a holder
/// neither of the version in force nor, while that is joint, of the one before.
bool may_leave(const roster_view& view, time_point now);

/// Returns whether quorums need both the old and the new holders at \p now.
bool is_joint(const roster_view& view, time_point now);

/// Returns the first of \p holders for \p key; nothing when there are none.
std::optional<instance_id> first_holder(const std::vector<instance_id>& holders,
                                        const submission_key& key);

/// Returns the holders of \p key at \p now, by rendezvous hashing.
holder_sets holders_of(const roster_view& view, const submission_key& key,
                       time_point now);

} // namespace kumquatpath

#endif
