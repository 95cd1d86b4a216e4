#include "model/json_pointer.hpp"
#include "model/review_rules.hpp"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

namespace kumquatpath::review
{
namespace
{

constexpr std::uint32_t top_octet_shift = 24;
/// Addresses from here on are multicast, reserved or broadcast (RFC 5771, RFC 1112).
constexpr std::uint32_t first_multicast_octet = 224;

std::string pointer_of(std::string_view section, std::string_view name)
{
    return child_pointer(child_pointer("", section), name);
}

std::string quoted(std::string_view name)
{
    return '"' + std::string(name) + '"';
}

bool is_usable(const endpoint& address)
{
    const std::uint32_t top_octet = address.address >> top_octet_shift;
    return top_octet != 0 && top_octet < first_multicast_octet;
}

/// Adds a warning to \p found if \p address, which is that of the object at \p pointer,
/// is not usable.
void check_address(warning_list& found, const endpoint& address,
                   const std::string& pointer)
{
    if (!is_usable(address))
    {
        found.push_back(
            {.pointer = child_pointer(pointer, "address"),
             .description = "No host can have the address " + to_string(address) + '.'});
    }
}

} // namespace

warning_list unused_data_centres(const configuration& config)
{
    boost::unordered_flat_set<std::uint32_t> used;
    for (const target_pool& pool : config.pools)
    {
        for (const target& each : pool.targets)
        {
            used.insert(each.data_centre.value);
        }
    }
    warning_list found;
    for (const data_centre& each : config.data_centres)
    {
        if (!used.contains(each.id.value))
        {
            found.push_back({.pointer = pointer_of("data_centres", each.name),
                             .description = "The data centre " + quoted(each.name) +
                                            " has no targets."});
        }
    }
    return found;
}

warning_list unused_pools(const configuration& config)
{
    boost::unordered_flat_set<std::uint32_t> used;
    for (const service& each : config.services)
    {
        used.insert(each.pool);
    }
    warning_list found;
    for (std::uint32_t i = 0; i < config.pools.size(); ++i)
    {
        const std::string& name = config.pools[i].name;
        if (!used.contains(i))
        {
            found.push_back({.pointer = pointer_of("pools", name),
                             .description = "No service uses the pool " + quoted(name) +
                                            ", so its targets get no flows."});
        }
    }
    return found;
}

warning_list unused_services(const configuration& config)
{
    boost::unordered_flat_set<std::uint32_t> used;
    for (const listener& each : config.listeners)
    {
        used.insert(each.service.value);
    }
    warning_list found;
    for (const service& each : config.services)
    {
        if (!used.contains(each.id.value))
        {
            found.push_back({.pointer = pointer_of("services", each.name),
                             .description = "No listener leads to the service " +
                                            quoted(each.name) +
                                            ", so it gets no flows."});
        }
    }
    return found;
}

warning_list shared_pools(const configuration& config)
{
    boost::unordered_flat_map<std::uint32_t, const service*> owners;
    warning_list found;
    for (const service& each : config.services)
    {
        const auto [owner, is_new] = owners.try_emplace(each.pool, &each);
        if (!is_new)
        {
            found.push_back(
                {.pointer = child_pointer(pointer_of("services", each.name), "pool"),
                 .description =
                     "The pool " + quoted(config.pools[each.pool].name) +
                     " belongs to the service " + quoted(owner->second->name) +
                     ", and a target serves one service only, so the service " +
                     quoted(each.name) + " has no targets."});
        }
    }
    return found;
}

warning_list instances_without_effect(const configuration& config)
{
    warning_list found;
    for (const std::string& name : config.listed_active_instances)
    {
        found.push_back({.pointer = pointer_of("instances", name),
                         .description = "The instance " + quoted(name) +
                                        " is active, so its entry has no effect."});
    }
    return found;
}

warning_list unusable_addresses(const configuration& config)
{
    warning_list found;
    for (const target_pool& pool : config.pools)
    {
        const std::string targets =
            child_pointer(pointer_of("pools", pool.name), "targets");
        for (const target& each : pool.targets)
        {
            check_address(found, each.address, child_pointer(targets, each.name));
        }
    }
    for (const listener& each : config.listeners)
    {
        check_address(found, each.address, pointer_of("listeners", each.name));
    }
    return found;
}

} // namespace kumquatpath::review
