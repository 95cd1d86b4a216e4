#include "key_value_store.hpp"

#include <iterator>

namespace kumquatpath::fakes
{

const stored_value* find_value(const key_value_store& store, const std::string& key)
{
    const auto found = store.values.find(key);
    return found == store.values.end() ? nullptr : &found->second;
}

write_result put_value(key_value_store& store, const std::string& key, stored_value value,
                       std::optional<std::uint64_t> expected)
{
    const stored_value* const present = find_value(store, key);
    const std::uint64_t held = present == nullptr ? 0 : present->revision;
    if (expected && *expected != held)
    {
        return {.done = false, .revision = held};
    }
    value.revision = ++store.revision;
    store.values[key] = std::move(value);
    return {.done = true, .revision = store.revision};
}

write_result delete_value(key_value_store& store, const std::string& key,
                          std::optional<std::uint64_t> expected)
{
    const stored_value* const present = find_value(store, key);
    const std::uint64_t held = present == nullptr ? 0 : present->revision;
    if (held == 0 || (expected && *expected != held))
    {
        return {.done = false, .revision = held};
    }
    store.values.erase(key);
    return {.done = true, .revision = ++store.revision};
}

std::uint64_t grant_lease(key_value_store& store, duration time_to_live, time_point now)
{
    const std::uint64_t lease = store.next_lease++;
    store.leases[lease] = {.time_to_live = time_to_live, .lapses_at = now + time_to_live};
    return lease;
}

bool renew_lease(key_value_store& store, std::uint64_t lease, time_point now)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end() || found->second.lapses_at <= now)
    {
        return false;
    }
    found->second.lapses_at = now + found->second.time_to_live;
    return true;
}

void end_lease(key_value_store& store, std::uint64_t lease)
{
    store.leases.erase(lease);
    const auto goes = [lease](const auto& entry)
    {
        return entry.second.lease == lease;
    };
    if (std::erase_if(store.values, goes) > 0)
    {
        ++store.revision;
    }
}

bool lapse_leases(key_value_store& store, time_point now)
{
    bool any = false;
    for (auto each = store.leases.begin(); each != store.leases.end();)
    {
        const auto next = std::next(each);
        if (each->second.lapses_at <= now)
        {
            end_lease(store, each->first);
            any = true;
        }
        each = next;
    }
    return any;
}

void tell_instance(key_value_store& store, const std::string& name,
                   std::optional<boost::json::object> told, time_point now)
{
    instance_snapshot next = store.instances.back();
    next.told_at = now;
    next.instances.erase(name);
    if (told)
    {
        next.instances.emplace(name, std::move(*told));
    }
    store.instances.push_back(std::move(next));
}

const instance_snapshot& lagging_instances(key_value_store& store, duration lag,
                                           time_point now)
{
    while (store.instances.size() > 1 && store.instances[1].told_at + lag <= now)
    {
        store.instances.pop_front();
    }
    return store.instances.front();
}

} // namespace kumquatpath::fakes
