#include "target_announcement.hpp"

#include <kumquatpath/decision/held_back_entries.hpp>

#include <algorithm>
#include <tuple>

namespace kumquatpath
{
namespace
{

/// What orders the announcements of one target: its starts, and what it announced since.
std::tuple<std::uint64_t, std::uint64_t> order_of(const target_record& record)
{
    return {record.incarnation, record.sequence};
}

bool is_comparable(const target_record& left, const target_record& right)
{
    return left.incarnation != 0 && right.incarnation != 0;
}

} // namespace

bool is_first_of_era(const target_directory& directory, state_revision position)
{
    return directory.position != state_revision{} &&
           position.era > directory.position.era;
}

bool must_hold_back(const target_directory& directory, const known_target& target,
                    const target_change& change)
{
    const bool is_entry = change.record.has_value() && !change.is_gone;
    if (!is_entry || target.is_unusable || !is_first_of_era(directory, change.revision) ||
        !is_comparable(*change.record, target.record))
    {
        return false;
    }
    return target.is_announced ? order_of(*change.record) < order_of(target.record)
                               : order_of(*change.record) <= order_of(target.record);
}

std::size_t count_held_back_entries(const target_directory& directory)
{
    return static_cast<std::size_t>(std::count_if(
        directory.targets.begin(), directory.targets.end(),
        [](const known_target& each) { return each.held_back.has_value(); }));
}

void hold_back(known_target& target, const target_change& change, time_point now)
{
    target.revision = change.revision;
    target.held_back = {.record = *change.record, .until = now + copied_entry_delay};
}

std::size_t use_held_back_entries(target_directory& directory, time_point now)
{
    std::size_t used = 0;
    for (target_index index = 0; index < directory.targets.size(); ++index)
    {
        const known_target& each = directory.targets[index];
        if (each.held_back && now >= each.held_back->until)
        {
            const target_change change{.key = each.record.key,
                                       .revision = each.revision,
                                       .record = each.held_back->record};
            announce(directory, index, change, now);
            review_claims(directory, index);
            ++used;
        }
    }
    return used;
}

} // namespace kumquatpath
