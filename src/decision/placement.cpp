#include <kumquatpath/decision/placement.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr std::uint32_t fewest_slots = 1U << 12U;
constexpr std::uint32_t most_slots = 1U << 20U;
constexpr std::uint32_t fewest_slots_per_target = 100;
/// Each larger count of slots is this many times the one before.
constexpr std::uint32_t slot_count_step = 16;
/// A target's cap is its even share plus one in this many.
constexpr std::size_t slack_divisor = 50;

/// A target that still has room, while slots are placed.
struct open_target
{
    std::uint64_t hash = 0;
    target_id target;
    std::size_t room = 0;
};

/// Combines two well mixed hashes; much cheaper than mix(), which made them.
std::uint64_t score(std::uint64_t slot_hash, std::uint64_t target_hash) noexcept
{
    constexpr std::uint64_t multiplier = 0x9fb21c651e98df25ULL;
    std::uint64_t value = (slot_hash ^ target_hash) * multiplier;
    value ^= value >> 32U;
    return value * multiplier;
}

/// Returns the index of the target that scores highest for \p slot.
std::size_t best_of(const std::vector<open_target>& targets, std::uint32_t slot)
{
    const std::uint64_t slot_hash = mix(slot, 0);
    std::size_t best = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const std::uint64_t next = score(slot_hash, targets[i].hash);
        if (next > best_score)
        {
            best = i;
            best_score = next;
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
    std::uint32_t count = fewest_slots;
    while (count < most_slots && count < target_count * fewest_slots_per_target)
    {
        count *= slot_count_step;
    }
    return count;
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
    std::vector<open_target> open;
    open.reserve(targets.size());
    for (const target_id each : targets)
    {
        open.push_back({mix(each.value, 1), each, share + share / slack_divisor});
    }
    placed.reserve(slot_count);
    for (std::uint32_t slot = 0; slot < slot_count; ++slot)
    {
        const std::size_t best = best_of(open, slot);
        placed.push_back(open[best].target);
        if (--open[best].room == 0)
        {
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(best));
        }
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
