#include "key_value_store.hpp"

#include <algorithm>
#include <iterator>

namespace kumquatpath::fakes
{
namespace
{

void append_event(key_value_store& store, stored_event event)
{
    store.events.push_back(std::move(event));
    if (store.events.size() > max_events)
    {
        store.compacted_revision = store.events.front().revision;
        store.events.pop_front();
    }
}

void delete_value(key_value_store& store, const std::string& key)
{
    if (store.values.erase(key) > 0)
    {
        append_event(store, {.key = key, .revision = store.revision});
    }
}

} // namespace

const stored_value* find_value(const key_value_store& store, const std::string& key)
{
    const auto found = store.values.find(key);
    return found == store.values.end() ? nullptr : &found->second;
}

bool execute(key_value_store& store, const transaction& operation)
{
    const bool are_preconditions_met = std::ranges::all_of(
        operation.preconditions,
        [&](const precondition& condition)
        {
            const auto* const found = find_value(store, condition.key);
            return (found == nullptr ? 0 : found->revision) == condition.revision;
        });
    if (!are_preconditions_met)
    {
        return false;
    }
    ++store.revision;
    for (const auto& [key, value] : operation.writes)
    {
        stored_value& stored = store.values[key];
        const std::uint64_t created_revision =
            stored.created_revision == 0 ? store.revision : stored.created_revision;
        stored = value;
        stored.revision = store.revision;
        stored.created_revision = created_revision;
        append_event(store, {.key = key, .revision = store.revision, .value = stored});
    }
    for (const std::string& key : operation.deletes)
    {
        delete_value(store, key);
    }
    return true;
}

void compact_history(key_value_store& store)
{
    store.compacted_revision = store.revision;
    store.events.clear();
}

void return_from_copy(key_value_store& store, const key_value_store& copy)
{
    const std::uint64_t next_era = store.era + 1;
    store = copy;
    store.era = next_era;
    compact_history(store);
}

std::uint64_t grant_lease(key_value_store& store, duration time_to_live, time_point now)
{
    const std::uint64_t lease = store.next_lease++;
    store.leases[lease] = {.time_to_live = time_to_live,
                           .expires_at = now + time_to_live};
    return lease;
}

bool renew_lease(key_value_store& store, std::uint64_t lease, time_point now)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end() || found->second.expires_at <= now)
    {
        return false;
    }
    found->second.expires_at = now + found->second.time_to_live;
    return true;
}

void end_lease(key_value_store& store, std::uint64_t lease)
{
    store.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, value] : store.values)
    {
        if (value.lease == lease)
        {
            keys.push_back(key);
        }
    }
    store.revision += keys.empty() ? 0U : 1U;
    for (const std::string& key : keys)
    {
        delete_value(store, key);
    }
}

bool expire_leases(key_value_store& store, time_point now)
{
    bool has_expired = false;
    for (auto lease = store.leases.begin(); lease != store.leases.end();)
    {
        const auto next = std::next(lease);
        if (lease->second.expires_at <= now)
        {
            end_lease(store, lease->first);
            has_expired = true;
        }
        lease = next;
    }
    return has_expired;
}

} // namespace kumquatpath::fakes
