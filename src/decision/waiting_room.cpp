#include <kumquatpath/decision/waiting_room.hpp>

#include <algorithm>
#include <cmath>
#include <compare>
#include <iterator>

namespace kumquatpath
{
namespace
{

/// A caller gives up an opening that nobody answers a little later than this.
constexpr duration longest_wait = std::chrono::milliseconds(1300);

/// The time in which what a listener has had comes to count a third.
constexpr duration share_memory = std::chrono::seconds(1);

/// Returns what \p listener has had by \p now.
double share_of(const waiting_room& room, const endpoint& listener, time_point now)
{
    const auto found = room.shares.find(pack(listener));
    if (found == room.shares.end())
    {
        return 0;
    }
    const double age = milliseconds_of(now - found->second.counted_at);
    return found->second.flows * std::exp(-age / milliseconds_of(share_memory));
}

/// What decides which opening goes first: smaller goes before.
struct waiting_rank
{
    bool is_late = false;
    double share = 0;
    /// Negative, so that the newest has the smallest.
    duration minus_begun{0};

    auto operator<=>(const waiting_rank&) const = default;
};

} // namespace

std::optional<waiting_opening> add_waiting(waiting_room& room, waiting_opening opening)
{
    const auto same = std::find_if(room.openings.begin(), room.openings.end(),
                                   [&](const waiting_opening& each)
                                   { return each.packet.flow == opening.packet.flow; });
    if (same != room.openings.end())
    {
        opening.begun = same->begun;
        opening.in_time_until = same->in_time_until;
        *same = std::move(opening);
        return std::nullopt;
    }
    std::optional<waiting_opening> displaced;
    if (room.openings.size() >= most_waiting)
    {
        const auto oldest =
            std::min_element(room.openings.begin(), room.openings.end(),
                             [](const waiting_opening& left, const waiting_opening& right)
                             { return left.begun < right.begun; });
        displaced = std::move(*oldest);
        room.openings.erase(oldest);
    }
    room.openings.push_back(std::move(opening));
    return displaced;
}

void note_placed(waiting_room& room, const endpoint& listener, time_point now)
{
    const double before = share_of(room, listener, now);
    room.shares[pack(listener)] = {.flows = before + 1, .counted_at = now};
}

std::optional<std::size_t> next_waiting(const waiting_room& room,
                                        std::span<const endpoint> full, time_point now)
{
    boost::unordered_flat_map<std::uint64_t, double> shares;
    std::optional<std::size_t> best;
    waiting_rank best_rank;
    for (std::size_t place = 0; place < room.openings.size(); ++place)
    {
        const waiting_opening& each = room.openings[place];
        const endpoint& listener = each.packet.listener;
        if (std::find(full.begin(), full.end(), listener) != full.end())
        {
            continue;
        }
        const auto [share, is_new] = shares.try_emplace(pack(listener), 0);
        share->second = is_new ? share_of(room, listener, now) : share->second;
        const waiting_rank rank{.is_late = now > each.in_time_until,
                                .share = share->second,
                                .minus_begun = -each.begun.time_since_epoch()};
        if (!best || rank < best_rank)
        {
            best = place;
            best_rank = rank;
        }
    }
    return best;
}

waiting_opening take_waiting(waiting_room& room, std::size_t place)
{
    std::swap(room.openings[place], room.openings.back());
    waiting_opening taken = std::move(room.openings.back());
    room.openings.pop_back();
    return taken;
}

std::vector<waiting_opening> take_expired(waiting_room& room, time_point now)
{
    std::vector<waiting_opening> expired;
    const auto first = std::partition(room.openings.begin(), room.openings.end(),
                                      [&](const waiting_opening& each)
                                      { return now < each.begun + longest_wait; });
    std::move(first, room.openings.end(), std::back_inserter(expired));
    room.openings.erase(first, room.openings.end());
    return expired;
}

} // namespace kumquatpath
