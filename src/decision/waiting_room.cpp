#include <kumquatpath/decision/waiting_room.hpp>

#include <algorithm>
#include <iterator>

namespace kumquatpath
{
namespace
{

/// A caller gives up an opening that nobody answers a little later than this.
constexpr duration longest_wait = std::chrono::milliseconds(1300);

/// Returns whether \p left is to be placed before \p right.
bool goes_before(const waiting_opening& left, const waiting_opening& right,
                 time_point now)
{
    const bool is_left_in_time = now <= left.in_time_until;
    const bool is_right_in_time = now <= right.in_time_until;
    if (is_left_in_time != is_right_in_time)
    {
        return is_left_in_time;
    }
    return left.begun > right.begun;
}

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

std::optional<std::size_t> next_waiting(const waiting_room& room,
                                        std::span<const endpoint> full, time_point now)
{
    std::optional<std::size_t> best;
    for (std::size_t place = 0; place < room.openings.size(); ++place)
    {
        const waiting_opening& each = room.openings[place];
        const bool is_first = !best || goes_before(each, room.openings[*best], now);
        if (is_first &&
            std::find(full.begin(), full.end(), each.packet.listener) == full.end())
        {
            best = place;
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
