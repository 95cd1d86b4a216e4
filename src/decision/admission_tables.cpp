#include "admission_tables.hpp"

#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/decision/placement.hpp>

#include <limits>

namespace kumquatpath
{
namespace
{

/// Work that isn't listed is the first to be refused.
constexpr std::uint8_t least_urgent = std::numeric_limits<std::uint8_t>::max();

bool is_listed(const admission& state, const lane_key& key) noexcept
{
    return find_entry(state.tenants, key.tenant) != nullptr &&
           find_entry(state.classes, key.traffic_class) != nullptr;
}

std::uint8_t priority_of(const admission& state, class_id id) noexcept
{
    const admission_class* known = find_entry(state.classes, id);
    return known != nullptr ? known->priority : least_urgent;
}

admission_lane& open_lane(admission& state, const lane_key& key, time_point now)
{
    const auto place =
        std::ranges::lower_bound(state.lanes, key, {}, &admission_lane::key);
    const auto opened =
        state.lanes.insert(place, {.key = key,
                                   .priority = priority_of(state, key.traffic_class),
                                   .first_seen = now,
                                   .rolled = now});
    assert_invariant(invariant::table_stays_in_its_bound,
                     state.lanes.size() <= most_lanes + state.services.size());
    return *opened;
}

/// Moves what was learned by an earlier entry into the one that replaces it.
template <class Id>
void keep_learned(rate_limit<Id>& next, const rate_limit<Id>& known)
{
    if (next.fleet_rate == known.fleet_rate)
    {
        next.bucket = known.bucket;
    }
}

template <class Entry>
void keep_learned(Entry& next, const Entry& known)
{
    keep_learned(next.limit, known.limit);
}

void sort_by_id(auto& table)
{
    std::ranges::sort(table, {}, [](const auto& each) { return id_of_entry(each); });
}

std::vector<admission_pool> next_pools(const admission& state, const configuration& whole)
{
    std::vector<admission_pool> pools;
    for (const target_pool& each : whole.pools)
    {
        admission_pool next{.id = id_of<pool_id>(each.name)};
        const admission_pool* known = find_entry(state.pools, next.id);
        if (known != nullptr)
        {
            next = *known;
        }
        targets_are(next.capacity, active_targets(whole, each));
        pools.push_back(std::move(next));
    }
    sort_by_id(pools);
    return pools;
}

/// Returns the table of what \p make makes of each object in \p configured, with what
/// the entries of the table \p known have learned.
template <class Entry, class Object, class Make>
std::vector<Entry> next_table(const std::vector<Entry>& known,
                              const std::vector<Object>& configured, Make make)
{
    std::vector<Entry> table;
    for (const Object& each : configured)
    {
        Entry next = make(each);
        const Entry* earlier = find_entry(known, id_of_entry(next));
        if (earlier != nullptr)
        {
            keep_learned(next, *earlier);
        }
        table.push_back(next);
    }
    sort_by_id(table);
    return table;
}

admission_class entry_of(const traffic_class& each)
{
    return {.limit = {.id = each.id, .fleet_rate = each.requests_per_second},
            .priority = each.priority};
}

rate_limit<tenant_id> entry_of(const tenant& each)
{
    return {.id = each.id, .fleet_rate = each.requests_per_second};
}

} // namespace

admission_lane& lane_of(admission& state, const lane_key& wanted, time_point now)
{
    admission_lane* known = find_sorted(state.lanes, wanted, &admission_lane::key);
    if (known != nullptr)
    {
        return *known;
    }
    if (state.lanes.size() < most_lanes && is_listed(state, wanted))
    {
        return open_lane(state, wanted, now);
    }
    const lane_key shared = shared_lane_of(wanted.service);
    known = find_sorted(state.lanes, shared, &admission_lane::key);
    return known != nullptr ? *known : open_lane(state, shared, now);
}

void configure(admission& state, const configuration& whole)
{
    state.pools = next_pools(state, whole);
    state.services = next_table(
        state.services, whole.services,
        [&whole](const service& each)
        {
            return admission_service{
                .limit = {.id = each.id, .fleet_rate = each.requests_per_second},
                .pool = id_of<pool_id>(whole.pools[each.pool].name)};
        });
    state.tenants = next_table(state.tenants, whole.tenants,
                               [](const tenant& each) { return entry_of(each); });
    state.classes = next_table(state.classes, whole.classes,
                               [](const traffic_class& each) { return entry_of(each); });
    std::erase_if(state.lanes, [&state](const admission_lane& each)
                  { return find_entry(state.services, each.key.service) == nullptr; });
    for (admission_pool& each : state.pools)
    {
        each.busy_lanes = 0;
    }
    for (admission_lane& each : state.lanes)
    {
        each.priority = priority_of(state, each.key.traffic_class);
        const pool_id pool = find_entry(state.services, each.key.service)->pool;
        find_entry(state.pools, pool)->busy_lanes += each.in_flight > 0 ? 1U : 0U;
    }
}

} // namespace kumquatpath
