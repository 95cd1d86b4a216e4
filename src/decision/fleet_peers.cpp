#include <kumquatpath/decision/fleet_peers.hpp>

#include <algorithm>
#include <tuple>

namespace kumquatpath
{
namespace
{

/// A peer that has been silent for this long is not live.
constexpr duration peer_timeout = std::chrono::milliseconds(1500);
/// The timeout is longer in a large fleet, whose instances send heartbeats to their peers
/// in turn.
constexpr duration peer_timeout_in_large_fleet = std::chrono::seconds(5);
constexpr duration silent_peer_retention = std::chrono::seconds(30);
constexpr std::size_t reader_count_in_small_fleet = 2;
constexpr std::size_t max_peers_in_small_fleet = 16;
/// A silent peer still counts in the choice of readers for this long, as the instances of
/// a large fleet send heartbeats to remote peers in turn.
constexpr duration reader_candidate_timeout = std::chrono::seconds(12);
/// Beyond this age of the state, an instance that is not a designated reader reads for
/// itself.
constexpr duration stale_state_age = std::chrono::milliseconds(1700);
/// Added to stale_state_age for each local peer with a lower id, up to
/// max_stale_state_age_steps, so that the instances of a data centre start one by one.
constexpr duration stale_state_age_step = std::chrono::milliseconds(150);
constexpr std::size_t max_stale_state_age_steps = 6;
/// Changes that follow one another within the pause are read together. The pause is
/// longer in a large fleet, which has more changes.
constexpr std::chrono::milliseconds reading_pause_in_small_fleet{300};
constexpr std::chrono::milliseconds reading_pause_in_large_fleet{700};
/// How long an instance reads after it has found the state to be stale.
constexpr duration fallback_reading_time = std::chrono::seconds(3);
/// An own read counts as recent for this long: somewhat longer than a reader waits for
/// changes.
constexpr duration recent_read_age = std::chrono::milliseconds(1200);
constexpr std::size_t max_peer_candidates = 64;
/// An instance of a large fleet that knows this many remote peers discovers no more.
constexpr std::size_t enough_remote_peers = 16;

bool is_newer(const state_freshness& left, const state_freshness& right)
{
    return left.as_of && (!right.as_of || *left.as_of > *right.as_of);
}

/// Returns how many candidates for reading have a lower id than this instance. With
/// \p is_local_only, counts only those of its data centre.
std::size_t rank_of_self(const fleet_peers& fleet, bool is_local_only, time_point now)
{
    std::size_t rank = 0;
    for (const auto& [instance, peer] : fleet.peers)
    {
        const bool is_counted =
            now < peer.heard_at + reader_candidate_timeout && !peer.is_leaving &&
            (!is_local_only || peer.data_centre == fleet.local_data_centre);
        rank += is_counted && instance < fleet.self ? 1U : 0U;
    }
    return rank;
}

/// Returns whether this instance reads by its rank alone. A small fleet has two
/// designated readers. A large fleet has one in each data centre, so that the state
/// reaches every instance over few hops.
bool is_designated_reader(const fleet_peers& fleet, time_point now)
{
    if (is_large(fleet))
    {
        return rank_of_self(fleet, true, now) == 0;
    }
    return rank_of_self(fleet, false, now) < reader_count_in_small_fleet;
}

/// Returns the newest freshness that peers up to \p position report from reads of other
/// instances than this one. A peer of another era has read another course of the state.
state_freshness freshness_from_peers(const fleet_peers& fleet, state_revision position)
{
    state_freshness best;
    for (const auto& [instance, peer] : fleet.peers)
    {
        const bool is_counted = peer.freshness.read_by != fleet.self &&
                                peer.position <= position &&
                                peer.position.era == position.era;
        if (is_counted && is_newer(peer.freshness, best))
        {
            best = peer.freshness;
        }
    }
    return best;
}

/// Returns whether this instance knows enough remote peers to stop discovering them. The
/// remote peers of a large fleet send heartbeats so rarely that, without this bound, each
/// would be removed and discovered again and again.
bool has_enough_remote_peers(const fleet_peers& fleet)
{
    const auto remote =
        std::count_if(fleet.peers.begin(), fleet.peers.end(),
                      [&](const auto& each)
                      { return each.second.data_centre != fleet.local_data_centre; });
    return is_large(fleet) && static_cast<std::size_t>(remote) >= enough_remote_peers;
}

void add_peer_candidates(fleet_peers& fleet, std::span<const fleet_member> members)
{
    const bool is_local_only = has_enough_remote_peers(fleet);
    for (const fleet_member& each : members)
    {
        const bool is_known =
            each.instance == fleet.self || fleet.peers.contains(each.instance) ||
            std::any_of(fleet.peer_candidates.begin(), fleet.peer_candidates.end(),
                        [&](const fleet_member& candidate)
                        { return candidate.instance == each.instance; });
        const bool is_wanted =
            !is_local_only || each.data_centre == fleet.local_data_centre;
        if (!is_known && is_wanted && fleet.peer_candidates.size() < max_peer_candidates)
        {
            fleet.peer_candidates.push_back(each);
        }
    }
}

} // namespace

bool is_live(const fleet_peers& fleet, const fleet_peer& peer, time_point now)
{
    return now <
           peer.heard_at + (is_large(fleet) ? peer_timeout_in_large_fleet : peer_timeout);
}

state_freshness newest_freshness(const fleet_peers& fleet, state_revision position)
{
    const state_freshness from_peers = freshness_from_peers(fleet, position);
    return is_newer(from_peers, fleet.own_freshness) ? from_peers : fleet.own_freshness;
}

state_freshness freshness_to_report(const fleet_peers& fleet, state_revision position,
                                    time_point now)
{
    const std::optional<time_point>& own_read = fleet.own_freshness.as_of;
    return own_read && now < *own_read + recent_read_age
               ? fleet.own_freshness
               : newest_freshness(fleet, position);
}

const fleet_peer* find_peer_with_newer_state(const fleet_peers& fleet,
                                             const sync_peer_query& query, time_point now)
{
    const fleet_peer* best = nullptr;
    std::tuple<bool, bool, bool, std::uint64_t> best_rank;
    for (const auto& [instance, peer] : fleet.peers)
    {
        const bool has_newer_state =
            peer.position > query.position || peer.configuration > query.configuration;
        if (query.is_local_only && peer.data_centre != fleet.local_data_centre)
        {
            continue;
        }
        const std::tuple rank(!peer.is_asked_in_vain, instance != query.avoided,
                              peer.data_centre == fleet.local_data_centre,
                              hash_pair(query.random, instance.value));
        if (has_newer_state && is_live(fleet, peer, now) &&
            (best == nullptr || rank > best_rank))
        {
            best = &peer;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<fleet_member> members_to_advertise(const fleet_peers& fleet,
                                               std::size_t max_count, std::uint64_t round,
                                               time_point now)
{
    std::vector<fleet_member> all;
    for (const auto& [instance, peer] : fleet.peers)
    {
        if (is_live(fleet, peer, now) && !peer.is_leaving)
        {
            all.push_back({instance, peer.address, peer.data_centre});
        }
    }
    if (all.size() > max_count)
    {
        const auto first = static_cast<std::ptrdiff_t>(round * max_count % all.size());
        std::rotate(all.begin(), all.begin() + first, all.end());
        all.resize(max_count);
    }
    return all;
}

heartbeat_result record_heartbeat(fleet_peers& fleet, instance_id sender,
                                  std::uint64_t sequence,
                                  const fleet_heartbeat& heartbeat, time_point now)
{
    if (sender == fleet.self)
    {
        return {.is_stale = true};
    }
    std::erase_if(fleet.peer_candidates,
                  [&](const fleet_member& each) { return each.instance == sender; });
    const bool was_known = fleet.peers.contains(sender);
    fleet_peer& peer = fleet.peers[sender];
    const bool is_same_incarnation =
        was_known && peer.incarnation == heartbeat.incarnation;
    if (is_same_incarnation && sequence <= peer.sequence)
    {
        return {.is_stale = true};
    }
    const bool is_asked_in_vain = is_same_incarnation && peer.is_asked_in_vain;
    peer = {.instance = sender,
            .incarnation = heartbeat.incarnation,
            .sequence = sequence,
            .address = heartbeat.address,
            .data_centre = heartbeat.data_centre,
            .is_leaving = heartbeat.is_leaving,
            .heard_at = now,
            .position = heartbeat.position,
            .configuration = heartbeat.configuration,
            .is_asked_in_vain = is_asked_in_vain};
    if (heartbeat.age != never_read)
    {
        peer.freshness = {.as_of = now - heartbeat.age, .read_by = heartbeat.read_by};
    }
    add_peer_candidates(fleet, heartbeat.members);
    return {.is_new = !is_same_incarnation};
}

std::vector<fleet_peer> remove_silent_peers(fleet_peers& fleet, time_point now)
{
    std::vector<fleet_peer> removed;
    for (const auto& [instance, peer] : fleet.peers)
    {
        if (now >= peer.heard_at + silent_peer_retention)
        {
            removed.push_back(peer);
        }
    }
    for (const fleet_peer& each : removed)
    {
        fleet.peers.erase(each.instance);
    }
    return removed;
}

bool is_large(const fleet_peers& fleet)
{
    return fleet.peers.size() > max_peers_in_small_fleet;
}

std::chrono::milliseconds reading_pause(const fleet_peers& fleet)
{
    return is_large(fleet) ? reading_pause_in_large_fleet : reading_pause_in_small_fleet;
}

bool update_reader_role(fleet_peers& fleet, state_revision position, time_point now)
{
    if (position.value == 0)
    {
        return true;
    }
    if (is_designated_reader(fleet, now))
    {
        return true;
    }
    const state_freshness from_peers = freshness_from_peers(fleet, position);
    const auto steps =
        std::min(rank_of_self(fleet, true, now), max_stale_state_age_steps);
    const duration limit =
        stale_state_age + static_cast<int>(steps) * stale_state_age_step;
    if (!from_peers.as_of || now - *from_peers.as_of > limit)
    {
        fleet.reads_until = now + fallback_reading_time;
    }
    return now < fleet.reads_until;
}

} // namespace kumquatpath
