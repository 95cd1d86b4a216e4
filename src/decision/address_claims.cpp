#include <kumquatpath/decision/address_claims.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns whether \p later was certainly announced after \p earlier.
bool is_announced_after(const known_target& later, const known_target& earlier)
{
    return !later.is_announcement_older &&
           later.announced_revision > earlier.announced_revision;
}

/// Returns whether \p later shows that \p earlier has ended.
bool does_replace(const target_directory& directory, const known_target& later,
                  const known_target& earlier)
{
    return later.record.key != earlier.record.key &&
           has_named_service(directory, later) && is_announced_after(later, earlier);
}

/// Returns whether \p target, rather than \p holder, is to hold the address of both.
bool is_better_holder(const target_directory& directory, const known_target& target,
                      const known_target& holder)
{
    const bool is_named = has_named_service(directory, target);
    if (is_named != has_named_service(directory, holder))
    {
        return is_named;
    }
    const bool is_better_known =
        holder.is_announcement_older && !target.is_announcement_older;
    return is_better_known || is_announced_after(target, holder);
}

} // namespace

bool has_named_service(const target_directory& directory, const known_target& target)
{
    return directory.named_services.contains(target.record.service);
}

std::size_t count_targets_of_unnamed_services(const target_directory& directory)
{
    return static_cast<std::size_t>(std::count_if(
        directory.targets.begin(), directory.targets.end(),
        [&](const known_target& each)
        {
            const bool is_of_unnamed_service =
                each.is_announced && !has_named_service(directory, each);
            return each.is_used && (is_of_unnamed_service || each.set_aside);
        }));
}

void claim_address(target_directory& directory, target_index index)
{
    if (!directory.has_exclusive_addresses)
    {
        return;
    }
    known_target& target = directory.targets[index];
    const auto holder =
        directory.by_address.try_emplace(pack(target.record.address), index).first;
    if (holder->second == index)
    {
        target.is_replaced = false;
        return;
    }
    known_target& last = directory.targets[holder->second];
    target.is_replaced = does_replace(directory, last, target);
    last.is_replaced = last.is_replaced || does_replace(directory, target, last);
    if (is_better_holder(directory, target, last))
    {
        holder->second = index;
    }
}

void release_address(target_directory& directory, target_index index)
{
    const auto holder =
        directory.by_address.find(pack(directory.targets[index].record.address));
    if (holder != directory.by_address.end() && holder->second == index)
    {
        directory.by_address.erase(holder);
    }
}

void claim_addresses_of_new_services(target_directory& directory,
                                     const service_set& named_before)
{
    for (target_index index = 0; index < directory.targets.size(); ++index)
    {
        const known_target& each = directory.targets[index];
        if (each.is_used && has_named_service(directory, each) &&
            !named_before.contains(each.record.service))
        {
            claim_address(directory, index);
        }
    }
}

} // namespace kumquatpath
