#include <kumquatpath/decision/target_directory.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

target_index take_place(target_directory& directory)
{
    if (directory.free_places.empty())
    {
        directory.targets.emplace_back();
        return static_cast<target_index>(directory.targets.size() - 1);
    }
    const target_index place = directory.free_places.back();
    directory.free_places.pop_back();
    return place;
}

void unlist(target_directory& directory, service_id service, target_index place)
{
    const auto found = directory.by_service.find(service);
    if (found == directory.by_service.end())
    {
        return;
    }
    std::erase(found->second, place);
    if (found->second.empty())
    {
        directory.by_service.erase(found);
    }
}

/// Gives the token to the target with the smaller key, on every instance alike.
void claim_token(target_directory& directory, target_index place)
{
    known_target& target = directory.targets[place];
    const auto [held, is_new] = directory.by_token.try_emplace(target.token.value, place);
    if (is_new || held->second == place)
    {
        return;
    }
    known_target& other = directory.targets[held->second];
    if (target.record.key < other.record.key)
    {
        other.is_shadowed = true;
        held->second = place;
    }
    else
    {
        target.is_shadowed = true;
    }
}

void vanish(target_directory& directory, known_target& target, state_revision revision,
            time_point now)
{
    target.revision = revision;
    if (!target.is_announced)
    {
        return;
    }
    target.is_announced = false;
    target.gone_since = now;
    target.grace_until = target.record.is_draining ? now : directory.grace_until;
}

void vanish_if_gone(target_directory& directory, known_target& target,
                    const target_change& change, time_point now)
{
    if (change.is_gone)
    {
        vanish(directory, target, change.revision, now);
    }
}

target_index add(target_directory& directory, const target_record& record)
{
    const target_index place = take_place(directory);
    directory.targets[place] =
        known_target{.record = record, .token = token_of(record.key), .is_used = true};
    directory.by_key[record.key.value] = place;
    directory.by_service[record.service].push_back(place);
    claim_token(directory, place);
    return place;
}

void announce(target_directory& directory, known_target& target, target_index place,
              const target_change& change, time_point now)
{
    if (target.record.service != change.record->service)
    {
        unlist(directory, target.record.service, place);
        directory.by_service[change.record->service].push_back(place);
    }
    target.record = *change.record;
    target.revision = change.revision;
    target.is_announced = true;
    target.announced_at = now;
}

/// Takes the first usable change of a target.
bool apply_first_change(target_directory& directory, const target_change& change,
                        time_point now)
{
    const auto early = directory.early_departures.find(change.key.value);
    const bool is_known_gone = early != directory.early_departures.end();
    if (!change.record)
    {
        if (!is_known_gone || early->second.revision < change.revision)
        {
            directory.early_departures[change.key.value] = {change.revision, now};
        }
        return false;
    }
    const target_index place = add(directory, *change.record);
    known_target& target = directory.targets[place];
    announce(directory, target, place, change, now);
    vanish_if_gone(directory, target, change, now);
    if (is_known_gone)
    {
        if (early->second.revision > change.revision)
        {
            vanish(directory, target, early->second.revision, now);
        }
        directory.early_departures.erase(early);
    }
    return true;
}

} // namespace

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

bool takes_new_flows(const known_target& target, time_point now)
{
    if (target.record.is_draining || target.is_shadowed)
    {
        return false;
    }
    return target.is_announced || now < target.grace_until;
}

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
        changes.push_back({.key = each.record.key,
                           .revision = each.revision,
                           .record = each.record,
                           .is_gone = !each.is_announced});
    }
    return changes;
}

bool apply_change(target_directory& directory, const target_change& change,
                  time_point now)
{
    const auto found = directory.by_key.find(change.key.value);
    if (found == directory.by_key.end())
    {
        return apply_first_change(directory, change, now);
    }
    known_target& target = directory.targets[found->second];
    if (change.revision <= target.revision)
    {
        return false;
    }
    if (change.record && !change.is_gone)
    {
        announce(directory, target, found->second, change, now);
    }
    vanish_if_gone(directory, target, change, now);
    return true;
}

void apply_listing(target_directory& directory, std::span<const target_change> listing,
                   state_revision at, time_point now)
{
    boost::unordered_flat_map<std::uint64_t, bool> listed;
    for (const target_change& each : listing)
    {
        listed[each.key.value] = true;
        apply_change(directory, each, now);
    }
    for (known_target& each : directory.targets)
    {
        if (each.is_used && each.revision < at && !listed.contains(each.record.key.value))
        {
            vanish(directory, each, at, now);
        }
    }
    directory.position = std::max(directory.position, at);
}

void note_return(target_directory& directory, duration outage, time_point now)
{
    if (outage >= lapsing_outage)
    {
        directory.grace_until = now + lapse_grace;
    }
}

void forget_gone(target_directory& directory, time_point now)
{
    boost::unordered::erase_if(directory.early_departures, [&](const auto& each)
                               { return now >= each.second.told_at + flow_memory; });
    for (target_index place = 0; place < directory.targets.size(); ++place)
    {
        known_target& each = directory.targets[place];
        if (!each.is_used || each.is_announced || now < each.gone_since + flow_memory)
        {
            continue;
        }
        directory.by_key.erase(each.record.key.value);
        unlist(directory, each.record.service, place);
        const auto held = directory.by_token.find(each.token.value);
        if (held != directory.by_token.end() && held->second == place)
        {
            directory.by_token.erase(held);
        }
        each = known_target{};
        directory.free_places.push_back(place);
    }
}

} // namespace kumquatpath
