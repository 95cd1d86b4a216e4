#include <kumquatpath/decision/flow_table.hpp>
#include <kumquatpath/decision/invariant.hpp>

#include <algorithm>
#include <bit>

namespace kumquatpath
{
namespace
{

std::size_t home_of(const flow_table& table, flow_key key) noexcept
{
    return mix(key.flow.value, key.service.value) & (table.places.size() - 1);
}

bool is_at(const flow_entry& entry, flow_key key) noexcept
{
    return entry.flow == key.flow && entry.service == key.service;
}

/// Returns the place that holds \p key, or the free place where it would go.
std::size_t place_of(const flow_table& table, flow_key key) noexcept
{
    const std::size_t mask = table.places.size() - 1;
    std::size_t place = home_of(table, key);
    while (table.places[place].role != flow_role::none &&
           !is_at(table.places[place], key))
    {
        place = (place + 1) & mask;
    }
    return place;
}

/// Frees \p place and moves later entries of its run up, so that no run is interrupted.
void free_place(flow_table& table, std::size_t place) noexcept
{
    const std::size_t mask = table.places.size() - 1;
    std::size_t hole = place;
    std::size_t next = (hole + 1) & mask;
    while (table.places[next].role != flow_role::none)
    {
        const flow_entry& entry = table.places[next];
        const std::size_t home = home_of(table, {entry.service, entry.flow});
        if (((next - home) & mask) >= ((next - hole) & mask))
        {
            table.places[hole] = entry;
            hole = next;
        }
        next = (next + 1) & mask;
    }
    table.places[hole] = {};
    --table.size;
}

} // namespace

flow_table make_flow_table(std::size_t most)
{
    constexpr std::size_t fewest_places = 64;
    flow_table table;
    table.most = most;
    // A third more than the flows leaves a quarter of the places free.
    const std::size_t places = most + (most + 2) / 3;
    table.places.resize(std::max(std::bit_ceil(places), fewest_places));
    return table;
}

flow_entry* find_flow(flow_table& table, flow_key key) noexcept
{
    flow_entry& entry = table.places[place_of(table, key)];
    return entry.role == flow_role::none ? nullptr : &entry;
}

flow_entry* insert_flow(flow_table& table, flow_key key) noexcept
{
    flow_entry& entry = table.places[place_of(table, key)];
    if (entry.role != flow_role::none)
    {
        return &entry;
    }
    if (table.size >= table.most)
    {
        ++table.refused;
        return nullptr;
    }
    ++table.size;
    assert_invariant(invariant::table_stays_in_its_bound, table.size <= table.most);
    entry = {.flow = key.flow, .service = key.service};
    return &entry;
}

void erase_flow(flow_table& table, flow_key key) noexcept
{
    const std::size_t place = place_of(table, key);
    if (table.places[place].role != flow_role::none)
    {
        free_place(table, place);
    }
}

void sweep_flows(flow_table& table, std::size_t places, duration idle,
                 time_point now) noexcept
{
    const std::uint32_t present = in_flow_ticks(now);
    const auto longest = static_cast<std::uint32_t>(idle / flow_tick);
    std::size_t left = std::min(places, table.places.size());
    while (left > 0)
    {
        const std::size_t place = table.next_swept & (table.places.size() - 1);
        const flow_entry& entry = table.places[place];
        if (entry.role != flow_role::none && present - entry.seen > longest)
        {
            // A later entry may have moved into the place, so it is looked at again.
            free_place(table, place);
            continue;
        }
        table.next_swept = place + 1;
        --left;
    }
}

std::uint32_t in_flow_ticks(time_point now) noexcept
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / flow_tick);
}

} // namespace kumquatpath
