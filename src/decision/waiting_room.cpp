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

void order_waiting(waiting_room& room, time_point now)
{
    std::sort(room.openings.begin(), room.openings.end(),
              [&](const waiting_opening& left, const waiting_opening& right)
              { return goes_before(left, right, now); });
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
