#include <kumquatpath/decision/placement.hpp>

#include <algorithm>
#include <bit>

namespace kumquatpath
{
namespace
{

constexpr std::uint32_t slots_per_target = 256;
constexpr std::uint32_t fewest_slots = 1024;
constexpr std::uint32_t most_slots = 1U << 20U;
/// A target's cap is its even share plus one in this many.
constexpr std::size_t slack_divisor = 50;

/// Returns the index of the target that scores highest for \p slot among those with room.
std::size_t best_with_room(std::span<const target_id> targets, std::uint32_t slot,
                           const std::vector<std::size_t>& room)
{
    std::size_t best = targets.size();
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const std::uint64_t score = mix(slot, targets[i].value);
        if (room[i] > 0 && (best == targets.size() || score > best_score))
        {
            best = i;
            best_score = score;
        }
    }
    return best;
}

bool is_draining(const configuration& whole, data_centre_id id)
{
    return std::ranges::any_of(
        whole.data_centres, [id](const data_centre& each)
        { return each.id == id && each.state == administrative_state::draining; });
}

} // namespace

slot_index slot_of(flow_id flow, std::uint32_t slot_count) noexcept
{
    constexpr std::uint64_t slot_seed = 0x736c6f74;
    return {static_cast<std::uint32_t>(mix(flow.value, slot_seed)) & (slot_count - 1)};
}

std::uint32_t slot_count_for(std::size_t target_count) noexcept
{
    const auto wanted = static_cast<std::uint32_t>(target_count) * slots_per_target;
    return std::clamp(std::bit_ceil(wanted), fewest_slots, most_slots);
}

std::vector<target_id> place_slots(std::span<const target_id> targets,
                                   std::uint32_t slot_count)
{
    std::vector<target_id> placed;
    if (targets.empty())
    {
        return placed;
    }
    const std::size_t share = slot_count / targets.size() + 1;
    std::vector<std::size_t> room(targets.size(), share + share / slack_divisor);
    placed.reserve(slot_count);
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    {
        const std::size_t best = best_with_room(targets, slot, room);
        --room[best];
        placed.push_back(targets[best]);
    }
    return placed;
}

std::vector<target_id> active_targets(const configuration& whole, const target_pool& pool)
{
    std::vector<target_id> active;
    for (const target& each : pool.targets)
    {
        if (each.state == administrative_state::active &&
            !is_draining(whole, each.data_centre))
        {
            active.push_back(each.id);
        }
    }
    std::ranges::sort(active);
    return active;
}

} // namespace kumquatpath
