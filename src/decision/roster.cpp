#include <kumquatpath/decision/roster.hpp>

#include <algorithm>
#include <utility>

namespace kumquatpath
{
namespace
{

bool contains(const std::vector<instance_id>& all, instance_id which)
{
    return std::ranges::find(all, which) != all.end();
}

/// Returns how many of \p holders, other than the view's own instance, satisfy \p which.
template <class Predicate>
std::size_t count_others(const roster_view& view, const std::vector<instance_id>& holders,
                         Predicate which)
{
    const auto counts = [&](const roster_sighting& each)
    {
        return each.instance != view.self && contains(holders, each.instance) &&
               which(each);
    };
    return static_cast<std::size_t>(std::ranges::count_if(view.sightings, counts));
}

std::size_t own_vote(const roster_view& view, const std::vector<instance_id>& holders)
{
    return view.is_confirmed && contains(holders, view.self) ? 1 : 0;
}

bool is_fresh(const roster_view& view, const roster_sighting& each, time_point now)
{
    return each.heard != time_point::min() && now - each.heard < view.options.view_lease;
}

/// Returns whether a majority of the current holders was heard at the current version.
bool is_followed_now(const roster_view& view, std::size_t own, time_point now)
{
    const auto follows = [&](const roster_sighting& each)
    {
        return each.version == view.current.version && is_fresh(view, each, now);
    };
    const std::size_t others = count_others(view, view.current.holders, follows);
    return own + others >= majority_of(view.current.holders.size());
}

/// Notes when a majority of the old holders was first heard, within one view lease, to
/// follow the current version or a newer one.
void note_following(roster_view& view, time_point now)
{
    if (view.followed_since || view.current.previous.empty())
    {
        return;
    }
    const auto follows = [&](const roster_sighting& each)
    {
        return each.version >= view.current.version && is_fresh(view, each, now);
    };
    const std::size_t followers = own_vote(view, view.current.previous) +
                                  count_others(view, view.current.previous, follows);
    if (followers >= majority_of(view.current.previous.size()))
    {
        view.followed_since = now;
    }
}

/// Forgets how fresh the sightings are when the time since the last tick shows a pause.
void note_pause(roster_view& view, time_point now)
{
    if (now - view.last_tick > view.options.longest_gap)
    {
        for (roster_sighting& each : view.sightings)
        {
            each.heard = time_point::min();
        }
        view.deaf_until = now + view.options.settle_time;
    }
    view.last_tick = std::max(view.last_tick, now);
}

/// Forgets the old holders once they no longer count, which holds for all instances.
void settle(roster_view& view, time_point now)
{
    if (!is_joint(view, now))
    {
        view.current.previous.clear();
    }
}

bool take_roster(roster_view& view, const roster& newer, time_point now)
{
    if (newer.version == view.current.version && newer.previous.empty())
    {
        view.current.previous.clear();
    }
    if (newer.version <= view.current.version)
    {
        return false;
    }
    view.current = newer;
    view.learned_at = now;
    view.store_word.reset();
    view.followed_since.reset();
    note_following(view, now);
    return true;
}

/// Notes that the store, asked at \p asked_at, named \p version.
void note_store_word(roster_view& view, roster_version version, time_point asked_at)
{
    if (version == view.current.version)
    {
        view.store_word = std::max(view.store_word.value_or(asked_at), asked_at);
    }
}

/// Returns the \p most best-ranked \p holders of \p key.
std::vector<instance_id> ranked(const std::vector<instance_id>& holders,
                                const submission_key& key, std::size_t most)
{
    const std::uint64_t seed =
        mix(mix(key.service.value, key.flow.value), key.request.value);
    std::vector<std::pair<std::uint64_t, instance_id>> scored;
    scored.reserve(holders.size());
    for (const instance_id each : holders)
    {
        scored.emplace_back(mix(seed, each.value), each);
    }
    const std::size_t count = std::min(most, scored.size());
    std::ranges::partial_sort(scored, scored.begin() + static_cast<std::ptrdiff_t>(count),
                              std::ranges::greater{});
    std::vector<instance_id> best;
    best.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        best.push_back(scored[i].second);
    }
    return best;
}

} // namespace

roster_view start_roster_view(const roster_options& options, instance_id self,
                              time_point now)
{
    return {.options = options, .self = self, .started = now, .last_tick = now};
}

std::optional<roster_notice> notice_of(const roster_view& view, time_point now)
{
    if (!view.store_word)
    {
        return std::nullopt;
    }
    return roster_notice{.value = view.current, .store_word_age = now - *view.store_word};
}

bool learn_roster_from_peer(roster_view& view, const roster_notice& notice,
                            time_point now)
{
    note_pause(view, now);
    if (now < view.deaf_until)
    {
        return false;
    }
    const bool is_taken = take_roster(view, notice.value, now);
    note_store_word(view, notice.value.version,
                    now - notice.store_word_age - view.options.longest_delay);
    return is_taken;
}

bool learn_roster_from_store(roster_view& view, const roster& newer, time_point asked_at,
                             time_point now)
{
    note_pause(view, now);
    const bool is_taken = take_roster(view, newer, now);
    note_store_word(view, newer.version, asked_at);
    if (newer.version == view.current.version)
    {
        view.is_confirmed = true;
        note_following(view, now);
    }
    return is_taken;
}

void hear_roster_version(roster_view& view, instance_id from, roster_version version,
                         time_point now)
{
    note_pause(view, now);
    if (version == roster_version{} || now < view.deaf_until)
    {
        return;
    }
    const auto known =
        std::ranges::find(view.sightings, from, &roster_sighting::instance);
    if (known == view.sightings.end())
    {
        view.sightings.push_back({.instance = from, .version = version, .heard = now});
    }
    else if (version >= known->version)
    {
        *known = {.instance = from, .version = version, .heard = now};
    }
    // Whoever counted on what an earlier incarnation announced must have noticed its end.
    view.is_confirmed = view.is_confirmed ||
                        (has_whole_memory(view, now) && is_followed_now(view, 0, now));
    note_following(view, now);
}

void tick_roster(roster_view& view, time_point now)
{
    note_pause(view, now);
    settle(view, now);
}

roster_version announced_version(const roster_view& view)
{
    return view.is_confirmed ? view.current.version : roster_version{};
}

bool has_whole_memory(const roster_view& view, time_point now)
{
    return now - view.started >= view.options.longest_keep;
}

bool remembers_advance_votes(const roster_view& view, time_point now)
{
    return now - view.started >= view.options.longest_keep + view.options.vote_lease;
}

bool may_be_stale(const roster_view& view, time_point now)
{
    return now < view.deaf_until || now - view.last_tick > view.options.longest_gap;
}

bool may_decide(const roster_view& view, time_point now)
{
    const bool has_store_word =
        view.store_word && now - *view.store_word < view.options.store_lease;
    return has_whole_memory(view, now) && view.is_confirmed && has_store_word &&
           !may_be_stale(view, now) &&
           is_followed_now(view, own_vote(view, view.current.holders), now);
}

bool may_leave(const roster_view& view, time_point now)
{
    return !contains(view.current.holders, view.self) &&
           !(is_joint(view, now) && contains(view.current.previous, view.self));
}

bool is_joint(const roster_view& view, time_point now)
{
    const duration transition = view.options.transition;
    const bool is_followed =
        view.followed_since && now - *view.followed_since >= transition;
    const bool has_lapsed =
        now - view.learned_at >= view.options.store_lease + transition;
    return !view.current.previous.empty() && !is_followed && !has_lapsed;
}

std::optional<instance_id> first_holder(const std::vector<instance_id>& holders,
                                        const submission_key& key)
{
    const auto best = ranked(holders, key, 1);
    return best.empty() ? std::nullopt : std::optional(best.front());
}

holder_sets holders_of(const roster_view& view, const submission_key& key, time_point now)
{
    holder_sets sets{.current = ranked(view.current.holders, key, holders_per_key)};
    if (is_joint(view, now))
    {
        sets.previous = ranked(view.current.previous, key, holders_per_key);
    }
    return sets;
}

} // namespace kumquatpath
