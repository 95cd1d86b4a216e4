#include <kumquatpath/decision/fleet_peers.hpp>

#include <algorithm>
#include <tuple>

namespace kumquatpath
{
namespace
{

constexpr duration live_time = std::chrono::milliseconds(1500);
/// In a large fleet peers take turns to be heard.
constexpr duration live_time_of_large_fleet = std::chrono::seconds(5);
constexpr duration memory_of_silent = std::chrono::seconds(30);
constexpr std::size_t readers_of_small_fleet = 2;
constexpr std::size_t most_peers_of_small_fleet = 16;
/// In a large fleet peers afar take turns to be heard; a silent one counts this long.
constexpr duration appointment_memory = std::chrono::seconds(12);
/// The age of the state from which on an instance reads for itself, and the steps by
/// which the instances of a data centre follow each other in that.
constexpr duration stale_age = std::chrono::milliseconds(1700);
constexpr duration stale_step = std::chrono::milliseconds(150);
constexpr std::size_t most_stale_steps = 6;
/// Changes that follow each other are read together; a large fleet sees more of them.
constexpr std::chrono::milliseconds pause_of_small_fleet{300};
constexpr std::chrono::milliseconds pause_of_large_fleet{700};
/// How long an instance goes on reading that began because of a stale state.
constexpr duration reading_term = std::chrono::seconds(3);
constexpr std::size_t most_strangers = 64;
/// Peers of other data centres that an instance of a large fleet looks for.
constexpr std::size_t enough_far_peers = 16;

bool is_newer(const state_freshness& left, const state_freshness& right)
{
    return left.as_of && (!right.as_of || *left.as_of > *right.as_of);
}

/// Returns how many of the peers that count come before this instance; with
/// \p is_home_only, of its data centre.
std::size_t rank_of_self(const fleet_peers& fleet, bool is_home_only, time_point now)
{
    std::size_t rank = 0;
    for (const auto& [instance, peer] : fleet.peers)
    {
        const bool counts = now < peer.heard_at + appointment_memory &&
                            !peer.is_leaving &&
                            (!is_home_only || peer.data_centre == fleet.home);
        rank += counts && instance < fleet.self ? 1U : 0U;
    }
    return rank;
}

/// A small fleet has two readers, a larger one a reader in each data centre, so that the
/// state comes to each over few steps.
bool is_appointed(const fleet_peers& fleet, time_point now)
{
    if (is_large(fleet))
    {
        return rank_of_self(fleet, true, now) == 0;
    }
    return rank_of_self(fleet, false, now) < readers_of_small_fleet;
}

/// Returns how fresh the state is by others' reading.
state_freshness told_freshness(const fleet_peers& fleet, state_revision position)
{
    state_freshness best;
    for (const auto& [instance, peer] : fleet.peers)
    {
        const bool counts =
            peer.freshness.read_by != fleet.self && peer.position <= position;
        if (counts && is_newer(peer.freshness, best))
        {
            best = peer.freshness;
        }
    }
    return best;
}

/// Returns whether peers of other data centres are known well enough: in a large fleet
/// they are heard so rarely that each would be forgotten and looked for again and again.
bool has_enough_far_peers(const fleet_peers& fleet)
{
    const auto far = std::count_if(fleet.peers.begin(), fleet.peers.end(),
                                   [&](const auto& each)
                                   { return each.second.data_centre != fleet.home; });
    return is_large(fleet) && static_cast<std::size_t>(far) >= enough_far_peers;
}

void note_strangers(fleet_peers& fleet, std::span<const fleet_member> members)
{
    const bool is_home_only = has_enough_far_peers(fleet);
    for (const fleet_member& each : members)
    {
        const bool is_known = each.instance == fleet.self ||
                              fleet.peers.contains(each.instance) ||
                              std::any_of(fleet.strangers.begin(), fleet.strangers.end(),
                                          [&](const fleet_member& known)
                                          { return known.instance == each.instance; });
        const bool is_wanted = !is_home_only || each.data_centre == fleet.home;
        if (!is_known && is_wanted && fleet.strangers.size() < most_strangers)
        {
            fleet.strangers.push_back(each);
        }
    }
}

} // namespace

bool is_live(const fleet_peers& fleet, const fleet_peer& peer, time_point now)
{
    return now < peer.heard_at + (is_large(fleet) ? live_time_of_large_fleet : live_time);
}

state_freshness newest_freshness(const fleet_peers& fleet, state_revision position)
{
    const state_freshness told = told_freshness(fleet, position);
    return is_newer(told, fleet.own) ? told : fleet.own;
}

const fleet_peer* better_informed(const fleet_peers& fleet, const teller_request& request,
                                  time_point now)
{
    const fleet_peer* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> best_rank;
    for (const auto& [instance, peer] : fleet.peers)
    {
        const bool knows_more = peer.position > request.position ||
                                peer.configuration > request.configuration;
        if (request.is_home_only && peer.data_centre != fleet.home)
        {
            continue;
        }
        const std::tuple rank(instance != request.avoided, peer.data_centre == fleet.home,
                              mix(request.random, instance.value));
        if (knows_more && is_live(fleet, peer, now) &&
            (best == nullptr || rank > best_rank))
        {
            best = &peer;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<fleet_member> members_to_tell(const fleet_peers& fleet, std::size_t most,
                                          std::uint64_t turn, time_point now)
{
    std::vector<fleet_member> all;
    for (const auto& [instance, peer] : fleet.peers)
    {
        if (is_live(fleet, peer, now) && !peer.is_leaving)
        {
            all.push_back({instance, peer.address, peer.data_centre});
        }
    }
    if (all.size() > most)
    {
        const auto middle = static_cast<std::ptrdiff_t>(turn * most % all.size());
        std::rotate(all.begin(), all.begin() + middle, all.end());
        all.resize(most);
    }
    return all;
}

beat_outcome hear_beat(fleet_peers& fleet, instance_id sender, std::uint64_t sequence,
                       const fleet_beat& beat, time_point now)
{
    if (sender == fleet.self)
    {
        return {.is_stale = true};
    }
    std::erase_if(fleet.strangers,
                  [&](const fleet_member& each) { return each.instance == sender; });
    const bool was_known = fleet.peers.contains(sender);
    fleet_peer& peer = fleet.peers[sender];
    const bool is_same_start = was_known && peer.incarnation == beat.incarnation;
    if (is_same_start && sequence <= peer.sequence)
    {
        return {.is_stale = true};
    }
    peer = {.instance = sender,
            .incarnation = beat.incarnation,
            .sequence = sequence,
            .address = beat.address,
            .data_centre = beat.data_centre,
            .is_leaving = beat.is_leaving,
            .heard_at = now,
            .position = beat.position,
            .configuration = beat.configuration};
    if (beat.age != never_read)
    {
        peer.freshness = {.as_of = now - beat.age, .read_by = beat.read_by};
    }
    note_strangers(fleet, beat.members);
    return {.is_new = !is_same_start};
}

std::vector<fleet_peer> forget_silent(fleet_peers& fleet, time_point now)
{
    std::vector<fleet_peer> forgotten;
    for (const auto& [instance, peer] : fleet.peers)
    {
        if (now >= peer.heard_at + memory_of_silent)
        {
            forgotten.push_back(peer);
        }
    }
    for (const fleet_peer& each : forgotten)
    {
        fleet.peers.erase(each.instance);
    }
    return forgotten;
}

bool is_large(const fleet_peers& fleet)
{
    return fleet.peers.size() > most_peers_of_small_fleet;
}

std::chrono::milliseconds reading_pause(const fleet_peers& fleet)
{
    return is_large(fleet) ? pause_of_large_fleet : pause_of_small_fleet;
}

bool decide_reading(fleet_peers& fleet, state_revision position, time_point now)
{
    if (position.value == 0)
    {
        return true;
    }
    if (is_appointed(fleet, now))
    {
        return true;
    }
    const state_freshness told = told_freshness(fleet, position);
    const auto steps = std::min(rank_of_self(fleet, true, now), most_stale_steps);
    const duration limit = stale_age + static_cast<int>(steps) * stale_step;
    if (!told.as_of || now - *told.as_of > limit)
    {
        fleet.reads_until = now + reading_term;
    }
    return now < fleet.reads_until;
}

} // namespace kumquatpath
