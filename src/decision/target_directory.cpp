#include "target_announcement.hpp"
#include "token_claims.hpp"

#include <kumquatpath/decision/address_claims.hpp>
#include <kumquatpath/decision/held_back_entries.hpp>
#include <kumquatpath/decision/target_directory.hpp>
#include <kumquatpath/decision/target_tombstones.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

target_index allocate_index(target_directory& directory)
{
    if (directory.free_indices.empty())
    {
        directory.targets.emplace_back();
        return static_cast<target_index>(directory.targets.size() - 1);
    }
    const target_index index = directory.free_indices.back();
    directory.free_indices.pop_back();
    return index;
}

/// Marks \p target, which was just added, gone since \p departure. Its announcement was
/// never in force here, so it takes no new flows. It may have expired in an outage that
/// ended just before.
void mark_never_announced(known_target& target, const target_tombstone& departure)
{
    const time_point now = departure.recorded_at;
    target.revision = departure.revision;
    target.is_announced = false;
    target.is_unusable = departure.is_unusable;
    target.gone_since = now;
    target.grace_until = now;
    target.missing_from = now + expiry_grace;
}

/// Marks the newest entry of \p target, of \p revision, as unusable.
void mark_unusable(known_target& target, state_revision revision, time_point now)
{
    target.revision = revision;
    target.set_aside.reset();
    target.held_back.reset();
    if (target.is_unusable)
    {
        return;
    }
    target.is_announced = false;
    target.is_unusable = true;
    target.gone_since = now;
    target.grace_until = now;
}

/// Returns whether \p announced, of a service that is not named, is under the key of
/// \p target, whose service is. Somebody else may have written it.
bool is_to_be_set_aside(const target_directory& directory, const known_target& target,
                        const target_record& announced)
{
    return has_named_service(directory, target) &&
           !directory.named_services.contains(announced.service);
}

target_index add(target_directory& directory, const target_change& change)
{
    const target_record& record = *change.record;
    const target_index index = allocate_index(directory);
    directory.targets[index] = known_target{.record = record,
                                            .entry = change.entry,
                                            .token = token_of(record.key),
                                            .is_used = true};
    directory.by_entry[identity_of(record.key, change.entry)] = index;
    directory.by_service[record.service].push_back(index);
    claim_token(directory, index);
    return index;
}

/// Applies a change of a target that is not in the directory. An entry up to the position
/// was followed by a departure that the directory no longer knows.
bool apply_first_change(target_directory& directory, const target_change& change,
                        time_point now)
{
    const bool is_outdated = change.revision <= directory.position;
    const target_tombstone reported{.key = change.key,
                                    .entry = change.entry,
                                    .revision = change.revision,
                                    .is_unusable = change.is_unusable && !is_outdated,
                                    .recorded_at = now};
    if (!change.record)
    {
        record_tombstone(directory, reported);
        return false;
    }
    if (directory.by_entry.size() >= max_known_targets)
    {
        ++directory.refused_targets;
        record_forgotten(directory, change.revision);
        return false;
    }
    const target_index index = add(directory, change);
    known_target& target = directory.targets[index];
    announce(directory, index, change, now);
    target_tombstone known = take_tombstone(directory, change.key, change.entry);
    known.recorded_at = now;
    const bool may_have_left = known.revision != state_revision{} && !known.is_unusable &&
                               is_first_of_era(directory, change.revision) &&
                               !change.is_gone;
    if (known.revision > change.revision)
    {
        mark_never_announced(target, known);
    }
    else if (change.is_gone || is_outdated)
    {
        mark_never_announced(target, reported);
    }
    else if (may_have_left)
    {
        mark_never_announced(target, reported);
        hold_back(target, change, now);
    }
    review_claims(directory, index);
    return true;
}

/// Records that the target at \p index, whose entry was not stated, announces itself in
/// \p entry.
void learn_entry(target_directory& directory, target_index index, entry_id entry)
{
    known_target& target = directory.targets[index];
    directory.by_entry.erase(identity_of(target.record.key, target.entry));
    target.entry = entry;
    directory.by_entry[identity_of(target.record.key, entry)] = index;
}

void remove_target(target_directory& directory, target_index index)
{
    known_target& target = directory.targets[index];
    directory.by_entry.erase(identity_of(target.record.key, target.entry));
    remove_from_service(directory, target.record.service, index);
    release_address(directory, index);
    release_token(directory, index);
    target = known_target{};
    directory.free_indices.push_back(index);
}

} // namespace

const target_index* find_target(const target_directory& directory,
                                const target_change& change)
{
    const auto found = directory.by_entry.find(identity_of(change.key, change.entry));
    if (found != directory.by_entry.end())
    {
        return &found->second;
    }
    const auto of_key = directory.by_entry.find(change.key.value);
    if (of_key != directory.by_entry.end())
    {
        return &of_key->second;
    }
    const target_index* const holder = find_by_token(directory, token_of(change.key));
    const bool is_any_entry = change.entry.value == 0 && holder != nullptr &&
                              directory.targets[*holder].record.key == change.key;
    return is_any_entry ? holder : nullptr;
}

const target_index* find_by_token(const target_directory& directory, flow_token token)
{
    const auto found = directory.by_token.find(token.value);
    return found == directory.by_token.end() ? nullptr : &found->second;
}

std::span<const target_index> targets_of(const target_directory& directory,
                                         service_id service)
{
    const auto found = directory.by_service.find(service);
    return found == directory.by_service.end() ? std::span<const target_index>()
                                               : found->second;
}

std::size_t count_unusable_targets(const target_directory& directory)
{
    return static_cast<std::size_t>(std::count_if(
        directory.targets.begin(), directory.targets.end(),
        [](const known_target& each) { return each.is_used && each.is_unusable; }));
}

bool takes_new_flows(const known_target& target, time_point now)
{
    if (target.record.is_draining || target.is_shadowed || target.is_evacuated ||
        target.is_replaced)
    {
        return false;
    }
    return target.is_announced || now < target.grace_until;
}

bool apply_change(target_directory& directory, const target_change& change,
                  time_point now)
{
    if (!change.is_gone && !change.record)
    {
        return false;
    }
    const target_index* const found = find_target(directory, change);
    if (found == nullptr)
    {
        return apply_first_change(directory, change, now);
    }
    const target_index index = *found;
    known_target& target = directory.targets[index];
    if (target.entry.value == 0 && change.entry.value != 0)
    {
        learn_entry(directory, index, change.entry);
    }
    const bool has_entry = !change.is_gone || change.is_unusable;
    const bool is_outdated = has_entry && change.revision <= directory.position;
    if (change.revision <= target.revision || is_outdated)
    {
        return false;
    }
    if (must_hold_back(directory, target, change))
    {
        hold_back(target, change, now);
    }
    else if (change.is_unusable)
    {
        mark_unusable(target, change.revision, now);
    }
    else if (change.is_gone)
    {
        mark_gone(directory, target, change.revision, now);
    }
    else if (is_to_be_set_aside(directory, target, *change.record))
    {
        mark_unusable(target, change.revision, now);
        target.set_aside = change.record;
    }
    else
    {
        announce(directory, index, change, now);
    }
    review_claims(directory, index);
    return true;
}

void name_services(target_directory& directory, const service_set& services,
                   time_point now)
{
    if (services == directory.named_services)
    {
        return;
    }
    directory.named_services = services;
    review_all_addresses(directory);
    for (target_index index = 0; index < directory.targets.size(); ++index)
    {
        known_target& each = directory.targets[index];
        if (each.set_aside && services.contains(each.set_aside->service))
        {
            const target_change change{.key = each.record.key,
                                       .revision = each.revision,
                                       .record = each.set_aside};
            announce(directory, index, change, now);
            review_claims(directory, index);
        }
    }
}

void mark_gone(const target_directory& directory, known_target& target,
               state_revision revision, time_point now)
{
    target.revision = revision;
    target.held_back.reset();
    if (!target.is_announced && !target.is_unusable)
    {
        return;
    }
    // A target that runs writes its entry again soon after somebody else's is removed.
    const bool may_come_back = target.is_unusable;
    const bool has_grace = !target.record.is_draining && !target.is_unusable;
    target.is_announced = false;
    target.is_unusable = false;
    target.set_aside.reset();
    target.gone_since = now;
    target.grace_until = has_grace ? directory.grace_until : now;
    target.missing_from = may_come_back ? now + expiry_grace : now;
}

void record_outage_end(target_directory& directory, duration outage, time_point now)
{
    if (outage >= min_outage_for_expiry)
    {
        directory.grace_until = now + expiry_grace;
    }
}

void record_store_return(target_directory& directory, time_point now)
{
    directory.grace_until = now + expiry_grace;
}

void remove_gone_targets(target_directory& directory, time_point now)
{
    remove_tombstones(directory, now);
    for (target_index index = 0; index < directory.targets.size(); ++index)
    {
        const known_target& each = directory.targets[index];
        if (!each.is_used || each.is_announced ||
            now < each.gone_since + gone_target_retention)
        {
            continue;
        }
        const target_tombstone departure{.key = each.record.key,
                                         .entry = each.entry,
                                         .revision = each.revision,
                                         .is_unusable = each.is_unusable,
                                         .recorded_at = now};
        remove_target(directory, index);
        if (departure.revision > directory.position)
        {
            record_tombstone(directory, departure);
        }
        else
        {
            record_forgotten(directory, departure.revision);
        }
    }
}

} // namespace kumquatpath
