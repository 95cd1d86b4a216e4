#include <kumquatpath/decision/flow_placement.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// A change that was accepted longer ago is in force on every instance.
constexpr std::chrono::seconds longest_rollout{6};

std::vector<placement_layer> live_layers(const configuration& whole, const service& owner,
                                         wall_time wall)
{
    std::vector<placement_layer> layers;
    for (const placement_epoch& epoch : owner.epochs)
    {
        const wall_time expires = epoch.retired_at + owner.flow_lifetime;
        if (wall < expires + expiry_grace)
        {
            layers.push_back({epoch.targets, epoch.retired_in, expires});
        }
    }
    layers.push_back({active_targets(whole, whole.pools[owner.pool]), {}, {}});
    return layers;
}

std::vector<target_id> every_target(std::span<const placement_layer> layers)
{
    std::vector<target_id> all;
    for (const placement_layer& layer : layers)
    {
        all.insert(all.end(), layer.targets.begin(), layer.targets.end());
    }
    std::ranges::sort(all);
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

/// The slots of one layer, in the layer's own count of slots.
using layer_slots = std::vector<target_id>;

target_id resting_on(const layer_slots& slots, std::uint32_t slot)
{
    // The counts are powers of two, and a slot of the smaller count holds the flows of
    // every slot of the larger one that has the same low bits.
    return slots.empty() ? target_id{} : slots[slot & (slots.size() - 1)];
}

/// Appends the stays of \p slot that differ from the one that follows.
void add_stays(service_placement& placement, std::span<const layer_slots> layers,
               std::uint32_t slot)
{
    const auto first = static_cast<std::uint32_t>(placement.stays.size());
    for (std::size_t i = 0; i + 1 < layers.size(); ++i)
    {
        const target_id here = resting_on(layers[i], slot);
        if (here != target_id{} && here != resting_on(layers[i + 1], slot))
        {
            const placement_layer& layer = placement.layers[i];
            placement.stays.push_back({here, layer.retired_in, layer.expires});
        }
    }
    const auto count = static_cast<std::uint32_t>(placement.stays.size()) - first;
    if (count > 0)
    {
        placement.moves.push_back({{slot}, first, count});
    }
}

std::uint16_t index_of(const std::vector<target_id>& targets, target_id target)
{
    return static_cast<std::uint16_t>(std::ranges::lower_bound(targets, target) -
                                      targets.begin());
}

std::shared_ptr<const service_placement> build(service_id id,
                                               std::vector<placement_layer> layers)
{
    auto placement = std::make_shared<service_placement>();
    placement->service = id;
    placement->targets = every_target(layers);
    std::vector<layer_slots> slots;
    for (const placement_layer& layer : layers)
    {
        const std::uint32_t count = slot_count_for(layer.targets.size());
        placement->slot_count = std::max(placement->slot_count, count);
        slots.push_back(place_slots(layer.targets, count));
    }
    placement->layers = std::move(layers);
    for (std::uint32_t slot = 0; slot < placement->slot_count; ++slot)
    {
        add_stays(*placement, slots, slot);
        if (!slots.back().empty())
        {
            placement->current.push_back(
                index_of(placement->targets, resting_on(slots.back(), slot)));
        }
    }
    return placement;
}

std::span<const slot_stay> stays_of(const service_placement& placement, slot_index slot)
{
    const auto found =
        std::ranges::lower_bound(placement.moves, slot, {}, &moved_slot::slot);
    if (found == placement.moves.end() || found->slot != slot)
    {
        return {};
    }
    return std::span(placement.stays).subspan(found->first_stay, found->stay_count);
}

target_id current_of(const service_placement& placement, slot_index slot)
{
    if (placement.current.empty())
    {
        return {};
    }
    return placement.targets[placement.current[slot.value]];
}

} // namespace

std::shared_ptr<const placement_plan> plan_placements(const configuration& whole,
                                                      const placement_plan* previous,
                                                      wall_time wall)
{
    auto plan = std::make_shared<placement_plan>();
    plan->generation = whole.generation;
    plan->services.reserve(whole.services.size());
    for (const service& each : whole.services)
    {
        std::vector<placement_layer> layers = live_layers(whole, each, wall);
        if (previous != nullptr)
        {
            const auto known = previous->services.find(each.id);
            if (known != previous->services.end() && known->second->layers == layers)
            {
                plan->services.emplace(*known);
                continue;
            }
        }
        plan->services.emplace(each.id, build(each.id, std::move(layers)));
    }
    return plan;
}

slot_lookup look_up(const service_placement& placement, slot_index slot, wall_time wall,
                    generation switched) noexcept
{
    slot_lookup found;
    const target_id newest = current_of(placement, slot);
    for (const slot_stay& stay : stays_of(placement, slot))
    {
        found.is_moved = found.is_moved || wall < stay.expires + expiry_grace;
        if (found.base == target_id{} && wall < stay.expires)
        {
            found.base = stay.target;
        }
        if (found.current == target_id{} && stay.retired_in > switched)
        {
            found.current = stay.target;
        }
    }
    found.base = found.base == target_id{} ? newest : found.base;
    found.current = found.current == target_id{} ? newest : found.current;
    return found;
}

std::vector<target_id> history_of(const service_placement& placement, slot_index slot,
                                  wall_time wall)
{
    std::vector<target_id> targets;
    const auto add = [&targets](target_id target)
    {
        if (target != target_id{} && std::ranges::find(targets, target) == targets.end())
        {
            targets.push_back(target);
        }
    };
    for (const slot_stay& stay : stays_of(placement, slot))
    {
        if (wall < stay.expires + expiry_grace)
        {
            add(stay.target);
        }
    }
    add(current_of(placement, slot));
    return targets;
}

bool holds_target(const service_placement& placement, target_id target) noexcept
{
    return std::ranges::binary_search(placement.targets, target);
}

generation initial_switch(const configuration& whole, wall_time wall) noexcept
{
    generation switched = whole.generation;
    for (const service& each : whole.services)
    {
        for (const placement_epoch& epoch : each.epochs)
        {
            if (wall < epoch.retired_at + longest_rollout)
            {
                switched = std::min(switched, generation{epoch.retired_in.value - 1});
            }
        }
    }
    return switched;
}

} // namespace kumquatpath
