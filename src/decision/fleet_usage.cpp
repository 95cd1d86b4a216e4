#include <kumquatpath/decision/fleet_usage.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// The weight of one heartbeat in the smoothed ratio.
constexpr double ratio_weight = 0.1;
/// A single heartbeat moves the ratio by no more than this factor.
constexpr double most_ratio = 4;
/// Below this rate, in requests a second, a ratio would be noise.
constexpr double least_rate = 5;
/// The share stays within this factor of the even one.
constexpr double most_uneven = 2;
constexpr duration peers_fall_silent = std::chrono::seconds(3);
constexpr duration longest_cut = std::chrono::minutes(10);

struct live_members
{
    std::size_t count = 0;
    std::size_t rank = 0;
};

live_members count_live(const member_view& view)
{
    live_members live;
    bool has_self = false;
    for (const member& each : view.members)
    {
        const bool is_self = each.instance == view.self;
        has_self = has_self || is_self;
        live.count += is_self || each.state == member_state::alive ? 1U : 0U;
        live.rank += each.state == member_state::alive && each.instance < view.self;
    }
    live.count += has_self ? 0U : 1U;
    return live;
}

} // namespace

void note_members(fleet_usage& fleet, const member_view& view, time_point now)
{
    const live_members live = count_live(view);
    const bool lost_half = live.count * 2 <= fleet.instances;
    if (lost_half && !fleet.cut_since)
    {
        fleet.cut_since = now;
    }
    if (lost_half && now - *fleet.cut_since < longest_cut)
    {
        return;
    }
    fleet.cut_since.reset();
    fleet.instances = live.count;
    fleet.rank = live.rank;
}

void note_peer_rate(fleet_usage& fleet, double peer_rate, double own_rate,
                    time_point now) noexcept
{
    fleet.last_heard = now;
    if (own_rate < least_rate || peer_rate < least_rate)
    {
        return;
    }
    const double ratio = std::clamp(peer_rate / own_rate, 1 / most_ratio, most_ratio);
    fleet.peer_ratio += ratio_weight * (ratio - fleet.peer_ratio);
}

double fleet_share(const fleet_usage& fleet, time_point now) noexcept
{
    const auto instances = static_cast<double>(fleet.instances);
    const double even = 1 / instances;
    const double measured = 1 / (1 + (instances - 1) * fleet.peer_ratio);
    const bool hears_peers =
        fleet.last_heard && now - *fleet.last_heard < peers_fall_silent;
    const double most = hears_peers ? even * most_uneven : even;
    return std::clamp(measured, even / most_uneven, std::min(most, 1.0));
}

double dither(const fleet_usage& fleet, std::uint64_t key) noexcept
{
    constexpr double range = 0x1p-64;
    const double start = static_cast<double>(mix(key, 0)) * range;
    const double step =
        static_cast<double>(fleet.rank) / static_cast<double>(fleet.instances);
    const double sum = start + step;
    return sum - std::floor(sum);
}

} // namespace kumquatpath
