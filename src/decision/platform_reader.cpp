#include <kumquatpath/decision/platform_reader.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr std::uint64_t reader_seed = 0x72656164;
constexpr std::chrono::milliseconds poll_interval_per_member{1000};
constexpr std::chrono::milliseconds shortest_poll_interval{5000};

} // namespace

bool reads_platform(const membership& state)
{
    member_view view = view_of(state);
    const data_centre_id own = state.self.data_centre;
    std::erase_if(view.members,
                  [own](const member& each) { return each.data_centre != own; });
    const std::uint64_t key = mix(reader_seed, own.value);
    for (std::size_t rank = 0; rank < readers_per_data_centre; ++rank)
    {
        if (keeper_of(view, key, rank) == state.self.instance)
        {
            return true;
        }
    }
    return false;
}

std::chrono::milliseconds platform_poll_interval(const membership& state)
{
    const auto members = static_cast<std::int64_t>(state.others.size() + 1);
    return std::max(shortest_poll_interval, poll_interval_per_member * members);
}

} // namespace kumquatpath
