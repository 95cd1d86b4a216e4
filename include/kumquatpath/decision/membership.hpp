#ifndef KUMQUATPATH_DECISION_MEMBERSHIP_HPP
#define KUMQUATPATH_DECISION_MEMBERSHIP_HPP

/// \file
/// Who is there: membership from heartbeats, without a coordination service.
///
/// Each instance sends its heartbeat to the next few instances on a ring and to one at
/// random. The successors on the ring watch it: when it falls silent they suspect it, and
/// a suspicion that is not refuted in time becomes a death. Only changes travel with the
/// heartbeats, so the traffic of one instance does not grow with the fleet. An instance
/// that hears itself suspected refutes it with a larger incarnation. A dead instance
/// still gets a heartbeat now and then, so that two sides of a healed partition find each
/// other again.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/member_view.hpp>

#include <boost/random/taus88.hpp>

#include <cstdint>
#include <vector>

namespace kumquatpath
{

/// How fast membership moves, and how much of it travels.
struct membership_options
{
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /// A watched member that is silent this long is suspected.
    duration suspect_after = std::chrono::milliseconds(2000);
    /// A suspected member that does not refute it this long is dead.
    duration dead_after = std::chrono::milliseconds(2000);
    /// A dead member is forgotten after this long.
    duration forget_after = std::chrono::minutes(90);
    /// How many successors on the ring watch a member.
    std::size_t watchers = 3;
    /// The most changes that one heartbeat carries.
    std::size_t changes_per_heartbeat = 6;
    /// Unchanged members that a heartbeat carries besides, in turn, to mend what was
    /// lost.
    std::size_t refreshes_per_heartbeat = 2;
    /// The most members that are known at once, this one included.
    std::size_t most_members = 4096;
};

/// One member as this instance knows it.
struct known_member
{
    member_digest digest;
    time_point last_heard{};
    time_point changed{};
    /// Whether this instance is one of those that watch the member.
    bool is_watched = false;
    /// How often the latest change is still to be sent.
    std::uint32_t transmissions_left = 0;
};

/// The membership as one instance sees it.
struct membership
{
    member_digest self;
    membership_options options;
    /// Every other member that is known, in ascending order of id.
    std::vector<known_member> others;
    /// When a message of any peer was last heard.
    time_point last_heard{};
    time_point last_beat{};
    time_point last_probe{};
    /// The place in \c others from which the next refresh is taken.
    std::size_t next_refresh = 0;
    /// Grows whenever the view changes.
    std::uint64_t version = 1;
    /// The version for which the watched members were worked out.
    std::uint64_t watched_version = 0;
    boost::random::taus88 random;
};

/// Returns the membership of an instance that knows only itself.
membership make_membership(const member_digest& self, const membership_options& options);

/// Notes a member that the settings or the platform's list name. It is not believed alive
/// until it is heard; it is probed. Does nothing for a member that is known already, but
/// for an address that changed. When the table is full the
/// member is not noted.
void note_listed(membership& state, const member_digest& listed, time_point now);

/// Notes that a message of \p sender was heard.
void note_heard(membership& state, instance_id sender, time_point now);

/// Takes in the changes that a heartbeat or a newcomer's first reply carries.
void merge_members(membership& state, const std::vector<member_digest>& members,
                   time_point now);

/// Says from now on that this instance is leaving: it keeps what it has and takes no
/// role.
void announce_leaving(membership& state, time_point now);

/// Advances suspicions and deaths, and appends the instances that a heartbeat goes to
/// when one is due. Returns true if it is due.
bool advance_membership(membership& state, time_point now,
                        std::vector<instance_id>& receivers);

/// Returns the members that the next heartbeat tells of: this one first, then changes.
std::vector<member_digest> take_digests(membership& state);

/// Returns what a heartbeat to \p receiver adds: what is believed of the receiver itself,
/// if that is worse than alive, so that it can refute it. Null otherwise.
const member_digest* rumour_about(const membership& state, instance_id receiver);

/// Returns every member that is known and not dead, this one included.
std::vector<member_digest> living_members(const membership& state);

/// Returns the view that the other decisions use.
member_view view_of(const membership& state);

/// Returns what is known of \p instance, or null.
const known_member* find_member(const membership& state, instance_id instance);

} // namespace kumquatpath

#endif
