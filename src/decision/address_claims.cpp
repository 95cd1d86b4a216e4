#include <kumquatpath/decision/address_claims.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns whether \p later certainly announced itself after \p earlier.
bool is_announced_after(const known_target& later, const known_target& earlier)
{
    return !later.is_announcement_older &&
           later.announced_revision > earlier.announced_revision;
}

/// Returns whether \p later certainly started after \p earlier. A process that has ended
/// may still announce itself late, so its start counts, not its announcement.
bool is_started_after(const known_target& later, const known_target& earlier)
{
    const std::uint64_t start = later.record.incarnation;
    const std::uint64_t earlier_start = earlier.record.incarnation;
    return start != 0 && earlier_start != 0 ? start > earlier_start
                                            : is_announced_after(later, earlier);
}

/// Returns whether \p later shows that \p earlier, at the same address, has ended.
bool does_replace(const target_directory& directory, const known_target& later,
                  const known_target& earlier)
{
    return later.is_announced && later.record.key != earlier.record.key &&
           has_named_service(directory, later) && is_started_after(later, earlier);
}

void review(target_directory& directory, const std::vector<target_index>& at_address)
{
    for (const target_index each : at_address)
    {
        known_target& target = directory.targets[each];
        target.is_replaced = std::ranges::any_of(
            at_address, [&](target_index other)
            { return does_replace(directory, directory.targets[other], target); });
    }
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
    std::vector<target_index>& at_address =
        directory.by_address[pack(directory.targets[index].record.address)];
    if (std::ranges::count(at_address, index) == 0)
    {
        at_address.push_back(index);
    }
}

void review_address(target_directory& directory, target_index index)
{
    const auto found =
        directory.by_address.find(pack(directory.targets[index].record.address));
    if (found != directory.by_address.end())
    {
        review(directory, found->second);
    }
}

void release_address(target_directory& directory, target_index index)
{
    const auto found =
        directory.by_address.find(pack(directory.targets[index].record.address));
    if (found == directory.by_address.end())
    {
        return;
    }
    std::erase(found->second, index);
    directory.targets[index].is_replaced = false;
    review(directory, found->second);
    if (found->second.empty())
    {
        directory.by_address.erase(found);
    }
}

void review_all_addresses(target_directory& directory)
{
    for (const auto& [address, at_address] : directory.by_address)
    {
        review(directory, at_address);
    }
}

} // namespace kumquatpath
