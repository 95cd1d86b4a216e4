#include "target_announcement.hpp"

#include <kumquatpath/decision/directory_update.hpp>
#include <kumquatpath/decision/held_back_entries.hpp>

#include <boost/unordered/unordered_flat_set.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns whether \p change states what happened to its target.
bool is_valid(const target_change& change)
{
    return change.is_gone || change.record.has_value();
}

using key_set = boost::unordered_flat_set<std::uint64_t>;

/// Returns the identities of the entries, usable or not, in \p listing.
key_set listed_entries(std::span<const target_change> listing)
{
    key_set keys;
    for (const target_change& each : listing)
    {
        if (!each.is_gone || each.is_unusable)
        {
            keys.insert(identity_of(each.key, each.entry));
        }
    }
    return keys;
}

/// Returns whether \p listed has the entry \p entry of the target with \p key. An older
/// release lists the key alone.
bool is_listed(const key_set& listed, target_key key, entry_id entry)
{
    return listed.contains(identity_of(key, entry)) || listed.contains(key.value);
}

/// Marks the targets with an entry that a listing at \p position lacks as gone. Returns
/// how many there were.
std::size_t mark_unlisted_gone(target_directory& directory, const key_set& listed,
                               state_revision position, time_point now)
{
    std::size_t marked = 0;
    for (target_index index = 0; index < directory.targets.size(); ++index)
    {
        known_target& each = directory.targets[index];
        const bool has_entry = each.is_announced || each.is_unusable || each.held_back;
        if (each.is_used && has_entry && each.revision < position &&
            !is_listed(listed, each.record.key, each.entry))
        {
            mark_gone(directory, each, position, now);
            review_claims(directory, index);
            ++marked;
        }
    }
    return marked;
}

/// Turns unusable entries of unknown targets that a listing at \p position lacks into
/// departures.
void end_unlisted_tombstones(target_directory& directory, const key_set& listed,
                             state_revision position, time_point now)
{
    for (auto& [identity, tombstone] : directory.tombstones)
    {
        if (tombstone.is_unusable && tombstone.revision < position &&
            !is_listed(listed, tombstone.key, tombstone.entry))
        {
            tombstone.revision = position;
            tombstone.is_unusable = false;
            tombstone.recorded_at = now;
        }
    }
}

/// Returns the announcement in the store that is not used here: it was set aside or is
/// held back.
std::optional<target_record> unused_announcement(const known_target& target)
{
    return target.held_back ? target.held_back->record : target.set_aside;
}

/// Returns the newest change of \p target. A peer decides by its own configuration and by
/// what it knows whether it uses an announcement that is not used here.
target_change change_of(const known_target& target)
{
    if (const auto unused = unused_announcement(target))
    {
        return {.key = target.record.key,
                .entry = target.entry,
                .revision = target.revision,
                .record = *unused};
    }
    return {.key = target.record.key,
            .entry = target.entry,
            .revision = target.revision,
            .record = target.record,
            .is_gone = !target.is_announced,
            .is_unusable = target.is_unusable};
}

/// Returns whether \p change differs from what \p directory knows of its target.
bool is_different(const target_directory& directory, const target_change& change)
{
    const target_index* const found = find_target(directory, change);
    if (found == nullptr)
    {
        return true;
    }
    const known_target& target = directory.targets[*found];
    return target.is_announced == change.is_gone ||
           target.is_unusable != change.is_unusable ||
           (!change.is_gone && change.record != target.record);
}

/// Merges \p changes into a directory whose state may be newer.
update_counts merge_changes(target_directory& directory,
                            std::span<const target_change> changes, time_point now)
{
    update_counts counts;
    for (const target_change& each : changes)
    {
        const bool differs = is_different(directory, each);
        if (apply_change(directory, each, now))
        {
            ++counts.updated;
            counts.changed += differs ? 1U : 0U;
        }
    }
    return counts;
}

} // namespace

std::vector<target_change> changes_since(const target_directory& directory,
                                         state_revision position)
{
    std::vector<target_change> changes;
    for (const known_target& each : directory.targets)
    {
        if (!each.is_used || each.revision <= position)
        {
            continue;
        }
        changes.push_back(change_of(each));
    }
    for (const auto& [identity, tombstone] : directory.tombstones)
    {
        if (tombstone.revision > position)
        {
            changes.push_back({.key = tombstone.key,
                               .entry = tombstone.entry,
                               .revision = tombstone.revision,
                               .is_gone = true,
                               .is_unusable = tombstone.is_unusable});
        }
    }
    return changes;
}

state_update update_since(const target_directory& directory, state_revision position)
{
    const bool is_whole = position < directory.complete_from;
    return {.position = directory.position,
            .complete_from =
                is_whole ? directory.position : std::min(position, directory.position),
            .is_whole = is_whole,
            .targets = changes_since(directory, is_whole ? state_revision() : position)};
}

update_counts apply_listing(target_directory& directory,
                            std::span<const target_change> listing,
                            state_revision position, time_point now)
{
    if (is_first_of_era(directory, position))
    {
        record_store_return(directory, now);
    }
    update_counts counts = merge_changes(directory, listing, now);
    if (position < directory.position)
    {
        return counts;
    }
    const key_set listed = listed_entries(listing);
    const std::size_t gone = mark_unlisted_gone(directory, listed, position, now);
    end_unlisted_tombstones(directory, listed, position, now);
    counts.updated += gone;
    counts.changed += gone;
    if (position > directory.position)
    {
        directory.position = position;
        directory.complete_from = std::max(directory.complete_from, position);
    }
    return counts;
}

directory_update_result apply_update(target_directory& directory,
                                     const state_update& update, time_point now)
{
    const bool is_valid_update =
        std::all_of(update.targets.begin(), update.targets.end(), is_valid);
    if (update.is_whole && is_valid_update)
    {
        return {.targets = apply_listing(directory, update.targets, update.position, now),
                .is_incomplete = false};
    }
    directory_update_result result{.targets =
                                       merge_changes(directory, update.targets, now)};
    const bool is_complete = is_valid_update && !update.is_whole &&
                             update.complete_from <= update.position &&
                             update.complete_from <= directory.position;
    if (is_complete)
    {
        directory.position = std::max(directory.position, update.position);
    }
    result.is_incomplete = update.position > directory.position;
    return result;
}

} // namespace kumquatpath
