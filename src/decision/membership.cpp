#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/decision/membership.hpp>

#include <algorithm>
#include <bit>
#include <tuple>

namespace kumquatpath
{
namespace
{

/// A dead member is probed this often, so that a healed partition is noticed.
constexpr duration probe_interval = std::chrono::seconds(1);
/// A change is sent with one more heartbeat for each time that the fleet doubles this
/// often. A heartbeat goes to several members, so few are enough; more of them would let
/// many changes at once queue behind each other.
constexpr std::uint32_t doublings_per_transmission = 3;
/// A change is sent at least this many times, also by one who knows few members yet.
constexpr std::uint32_t fewest_transmissions = 3;

auto position_of(membership& state, instance_id instance)
{
    return std::ranges::lower_bound(state.others, instance, {},
                                    [](const known_member& each)
                                    { return each.digest.instance; });
}

known_member* find_mutable(membership& state, instance_id instance)
{
    const auto position = position_of(state, instance);
    const bool found =
        position != state.others.end() && position->digest.instance == instance;
    return found ? &*position : nullptr;
}

std::uint32_t transmissions_for(const membership& state)
{
    const auto doublings = std::bit_width(state.others.size() + 1);
    return std::max(fewest_transmissions,
                    static_cast<std::uint32_t>(doublings) / doublings_per_transmission);
}

void change(membership& state, known_member& each, const member_digest& digest,
            time_point now)
{
    each.digest = digest;
    each.changed = now;
    each.transmissions_left = transmissions_for(state);
    ++state.version;
}

void change_state(membership& state, known_member& each, member_state next,
                  time_point now)
{
    member_digest digest = each.digest;
    digest.state = next;
    change(state, each, digest, now);
}

known_member* insert(membership& state, const member_digest& digest, time_point now)
{
    if (state.others.size() + 1 >= state.options.most_members)
    {
        return nullptr;
    }
    const auto position = position_of(state, digest.instance);
    const auto inserted = state.others.insert(
        position, known_member{.digest = digest, .last_heard = now, .changed = now});
    ++state.version;
    return &*inserted;
}

/// Returns whether \p news says more than \p known: a later incarnation, or a worse
/// state.
bool supersedes(const member_digest& news, const member_digest& known)
{
    return std::tuple(news.incarnation, news.state) >
           std::tuple(known.incarnation, known.state);
}

/// Answers a rumour about this instance that is not true.
void refute(membership& state, const member_digest& rumour)
{
    const bool is_worse = rumour.state > state.self.state;
    if (rumour.incarnation >= state.self.incarnation && is_worse)
    {
        state.self.incarnation.value = rumour.incarnation.value + 1;
        ++state.version;
    }
}

void merge_one(membership& state, const member_digest& news, time_point now)
{
    if (news.instance == state.self.instance)
    {
        refute(state, news);
        return;
    }
    known_member* known = find_mutable(state, news.instance);
    if (known == nullptr)
    {
        // An unknown member that is dead is no news; telling of it would never end.
        if (news.state != member_state::dead)
        {
            known = insert(state, news, now);
        }
        if (known != nullptr)
        {
            known->transmissions_left = transmissions_for(state);
        }
        return;
    }
    if (supersedes(news, known->digest))
    {
        known->last_heard = now;
        change(state, *known, news, now);
    }
}

bool is_present(const known_member& each)
{
    return each.digest.state != member_state::dead;
}

/// Returns the place of \p instance on the ring.
std::uint64_t ring_position(instance_id instance)
{
    constexpr std::uint64_t ring_seed = 0x72696e67;
    return mix(instance.value, ring_seed);
}

/// Returns the present members, this one included, in the order of the ring.
std::vector<instance_id> ring_of(const membership& state)
{
    std::vector<instance_id> ring = {state.self.instance};
    for (const known_member& each : state.others)
    {
        if (is_present(each))
        {
            ring.push_back(each.digest.instance);
        }
    }
    std::ranges::sort(ring, {}, ring_position);
    return ring;
}

/// Returns the present members nearest to this one on the ring, before or after it.
std::vector<instance_id> neighbours(const membership& state, std::ptrdiff_t step)
{
    const std::vector<instance_id> ring = ring_of(state);
    const auto size = static_cast<std::ptrdiff_t>(ring.size());
    const auto own = std::ranges::find(ring, state.self.instance) - ring.begin();
    const auto count =
        std::min(static_cast<std::ptrdiff_t>(state.options.watchers), size - 1);
    std::vector<instance_id> nearest;
    for (std::ptrdiff_t i = 1; i <= count; ++i)
    {
        const auto place = (own + step * i + size * count) % size;
        nearest.push_back(ring[static_cast<std::size_t>(place)]);
    }
    return nearest;
}

/// Works out which members this instance watches: those just before it on the ring.
void refresh_watched(membership& state, time_point now)
{
    if (state.watched_version == state.version)
    {
        return;
    }
    state.watched_version = state.version;
    std::vector<instance_id> watched = neighbours(state, -1);
    std::ranges::sort(watched);
    for (known_member& each : state.others)
    {
        const bool is_watched = std::ranges::binary_search(watched, each.digest.instance);
        if (is_watched && !each.is_watched)
        {
            // Its silence counts only from now on: until now it sent its heartbeats
            // elsewhere.
            each.last_heard = now;
        }
        each.is_watched = is_watched;
    }
}

void advance_one(membership& state, known_member& each, time_point now)
{
    const bool is_silent = now - each.last_heard >= state.options.suspect_after;
    const bool may_be_suspected = each.digest.state < member_state::suspect;
    if (may_be_suspected && is_silent && each.is_watched)
    {
        change_state(state, each, member_state::suspect, now);
        return;
    }
    const bool has_expired = now - each.changed >= state.options.dead_after;
    if (each.digest.state == member_state::suspect && has_expired)
    {
        change_state(state, each, member_state::dead, now);
    }
}

void forget_long_dead(membership& state, time_point now)
{
    const auto forgotten =
        std::erase_if(state.others,
                      [&](const known_member& each)
                      {
                          return each.digest.state == member_state::dead &&
                                 now - each.changed >= state.options.forget_after;
                      });
    state.version += forgotten > 0 ? 1U : 0U;
}

/// Appends one member at random for which \p wanted holds, unless it is a receiver
/// already.
template <class Predicate>
void append_random(membership& state, std::vector<instance_id>& receivers,
                   Predicate wanted)
{
    std::vector<instance_id> candidates;
    for (const known_member& each : state.others)
    {
        if (wanted(each))
        {
            candidates.push_back(each.digest.instance);
        }
    }
    if (candidates.empty())
    {
        return;
    }
    const instance_id chosen = candidates[state.random() % candidates.size()];
    if (std::ranges::find(receivers, chosen) == receivers.end())
    {
        receivers.push_back(chosen);
    }
}

void append_probe(membership& state, std::vector<instance_id>& receivers, time_point now)
{
    const bool is_alone = std::ranges::none_of(state.others, is_present);
    if (!is_alone && now - state.last_probe < probe_interval)
    {
        return;
    }
    state.last_probe = now;
    append_random(state, receivers,
                  [](const known_member& each) { return !is_present(each); });
}

/// Appends a few members in turn, whether or not they changed.
void append_refreshes(membership& state, std::vector<member_digest>& digests)
{
    const std::size_t count =
        std::min(state.options.refreshes_per_heartbeat, state.others.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        const known_member& each =
            state.others[state.next_refresh++ % state.others.size()];
        if (is_present(each))
        {
            digests.push_back(each.digest);
        }
    }
}

} // namespace

membership make_membership(const member_digest& self, const membership_options& options)
{
    membership state{.self = self, .options = options};
    state.random.seed(
        static_cast<std::uint32_t>(mix(self.instance.value, self.incarnation.value)));
    return state;
}

void note_listed(membership& state, const member_digest& listed, time_point now)
{
    if (listed.instance == state.self.instance)
    {
        return;
    }
    if (known_member* const known = find_mutable(state, listed.instance))
    {
        // A replacement under an old name may have another address; only a silent
        // member's address is taken from a list, since lists lag behind what is heard.
        if (!is_present(*known))
        {
            known->digest.address = listed.address;
        }
        return;
    }
    member_digest unheard = listed;
    unheard.incarnation = {};
    unheard.state = member_state::dead;
    insert(state, unheard, now);
}

void note_heard(membership& state, instance_id sender, time_point now)
{
    state.last_heard = now;
    if (known_member* const known = find_mutable(state, sender))
    {
        known->last_heard = now;
    }
}

void merge_members(membership& state, const std::vector<member_digest>& members,
                   time_point now)
{
    for (const member_digest& each : members)
    {
        merge_one(state, each, now);
    }
    assert_invariant(invariant::table_stays_in_its_bound,
                     state.others.size() < state.options.most_members);
}

void announce_leaving(membership& state, time_point /*now*/)
{
    state.self.state = member_state::leaving;
    ++state.version;
}

bool advance_membership(membership& state, time_point now,
                        std::vector<instance_id>& receivers)
{
    const bool was_paused = now - state.last_beat >= state.options.suspect_after &&
                            state.last_beat != time_point{};
    if (was_paused)
    {
        // After a pause of its own an instance has heard nobody; that is no evidence.
        for (known_member& each : state.others)
        {
            each.last_heard =
                std::max(each.last_heard, now - state.options.heartbeat_interval);
        }
    }
    refresh_watched(state, now);
    for (known_member& each : state.others)
    {
        advance_one(state, each, now);
    }
    forget_long_dead(state, now);
    if (state.last_beat != time_point{} &&
        now - state.last_beat < state.options.heartbeat_interval)
    {
        return false;
    }
    state.last_beat = now;
    const std::vector<instance_id> successors = neighbours(state, 1);
    receivers.insert(receivers.end(), successors.begin(), successors.end());
    append_random(state, receivers, is_present);
    // A suspected member must hear of it, or it could not refute it. Only its watchers
    // tell it: if all members did, one suspect would hear the whole fleet at once.
    append_random(state, receivers,
                  [](const known_member& each) {
                      return each.digest.state == member_state::suspect &&
                             each.is_watched;
                  });
    append_probe(state, receivers, now);
    return true;
}

std::vector<member_digest> take_digests(membership& state)
{
    std::vector<member_digest> digests = {state.self};
    append_refreshes(state, digests);
    std::vector<known_member*> changed;
    for (known_member& each : state.others)
    {
        if (each.transmissions_left > 0)
        {
            changed.push_back(&each);
        }
    }
    // The oldest changes go first. Were it the freshest, a steady stream of news would
    // keep the rest from ever being told, and views that differ make more news.
    std::ranges::stable_sort(changed, {}, &known_member::changed);
    changed.resize(std::min(changed.size(), state.options.changes_per_heartbeat));
    for (known_member* each : changed)
    {
        --each->transmissions_left;
        digests.push_back(each->digest);
    }
    return digests;
}

const member_digest* rumour_about(const membership& state, instance_id receiver)
{
    const known_member* const known = find_member(state, receiver);
    const bool is_heard_of = known != nullptr && known->digest.incarnation.value != 0;
    const bool is_bad = is_heard_of && known->digest.state >= member_state::suspect;
    return is_bad ? &known->digest : nullptr;
}

std::vector<member_digest> living_members(const membership& state)
{
    std::vector<member_digest> living = {state.self};
    for (const known_member& each : state.others)
    {
        if (is_present(each))
        {
            living.push_back(each.digest);
        }
    }
    return living;
}

member_view view_of(const membership& state)
{
    member_view view{.self = state.self.instance};
    view.members.reserve(state.others.size() + 1);
    for (const known_member& each : state.others)
    {
        view.members.push_back({.instance = each.digest.instance,
                                .data_centre = each.digest.data_centre,
                                .state = each.digest.state,
                                .last_heard = each.last_heard,
                                .since = each.changed});
    }
    const member own{.instance = state.self.instance,
                     .data_centre = state.self.data_centre,
                     .state = state.self.state};
    const auto position =
        std::ranges::lower_bound(view.members, own.instance, {}, &member::instance);
    view.members.insert(position, own);
    return view;
}

const known_member* find_member(const membership& state, instance_id instance)
{
    const auto position = std::ranges::lower_bound(state.others, instance, {},
                                                   [](const known_member& each)
                                                   { return each.digest.instance; });
    const bool found =
        position != state.others.end() && position->digest.instance == instance;
    return found ? &*position : nullptr;
}

} // namespace kumquatpath
