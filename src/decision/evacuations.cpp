#include <kumquatpath/decision/evacuations.hpp>
#include <kumquatpath/decision/held_back_entries.hpp>
#include <kumquatpath/model/display_name.hpp>

#include <algorithm>
#include <set>

namespace kumquatpath
{
namespace
{

/// How far the receiver of an update knows the evacuations.
struct known_range
{
    /// An evacuation of this revision or an older one is known or outdated.
    state_revision outdated;
    /// A withdrawal of this revision or an older one may be removed: an older change of
    /// its data centre counts as outdated.
    state_revision removable;
    /// The store has come back from an older copy since, so a change that contradicts
    /// what is known may be older.
    bool is_first_of_era = false;
};

/// Keeps \p entry as it is, although the store has \p change since it came back.
void hold_back(known_evacuation& entry, const evacuation_change& change, time_point now)
{
    entry.change.revision = change.revision;
    entry.held_back = change;
    entry.held_back_until = now + copied_entry_delay;
}

/// Removes the oldest removable withdrawal if the table is full. Returns whether there is
/// room for another entry.
bool make_room(evacuation_table& table, state_revision removable)
{
    if (table.entries.size() < max_known_evacuations)
    {
        return true;
    }
    auto oldest = table.entries.end();
    for (auto each = table.entries.begin(); each != table.entries.end(); ++each)
    {
        const evacuation_change& change = each->second.change;
        if (change.is_withdrawn && change.revision <= removable &&
            (oldest == table.entries.end() ||
             change.revision < oldest->second.change.revision))
        {
            oldest = each;
        }
    }
    if (oldest == table.entries.end())
    {
        return false;
    }
    table.complete_from = std::max(table.complete_from, oldest->second.change.revision);
    table.entries.erase(oldest);
    return true;
}

/// Applies the change of a data centre that is not in the table. Returns whether an
/// evacuation is in force now.
bool apply_first_change(evacuation_table& table, const evacuation_change& change,
                        const known_range& known, time_point now)
{
    if (change.revision <= known.outdated)
    {
        return false;
    }
    if (!make_room(table, known.removable))
    {
        ++table.ignored;
        return false;
    }
    table.entries[change.data_centre] = {.change = change, .since = now};
    return !change.is_withdrawn;
}

/// Returns whether \p change put the evacuation in force or withdrew it.
bool apply_evacuation(evacuation_table& table, evacuation_change change,
                      const known_range& known, time_point now)
{
    if (!is_display_name(change.name))
    {
        change.name.clear();
    }
    const auto found = table.entries.find(change.data_centre);
    if (found == table.entries.end())
    {
        return apply_first_change(table, change, known, now);
    }
    known_evacuation& entry = found->second;
    if (change.revision <= entry.change.revision)
    {
        return false;
    }
    const bool is_toggled = change.is_withdrawn != entry.change.is_withdrawn;
    if (change.name.empty())
    {
        change.name = entry.change.name;
    }
    if (is_toggled && known.is_first_of_era)
    {
        hold_back(entry, change, now);
        return false;
    }
    entry = {.change = change, .since = is_toggled ? now : entry.since};
    return is_toggled;
}

/// Withdraws \p entry at \p position.
void withdraw(known_evacuation& entry, state_revision position, time_point now)
{
    entry.change.revision = position;
    entry.change.is_withdrawn = true;
    entry.held_back.reset();
    entry.since = now;
}

/// Withdraws the evacuations that the whole \p update lacks. Returns their changes.
std::vector<evacuation_change> withdraw_unlisted(evacuation_table& table,
                                                 const state_update& update,
                                                 const known_range& known, time_point now)
{
    std::set<data_centre_id> listed;
    for (const evacuation_change& each : update.evacuations)
    {
        // A withdrawal may be older than what is known, if that was lost with the old
        // era.
        if (!each.is_withdrawn)
        {
            listed.insert(each.data_centre);
        }
    }
    std::vector<evacuation_change> withdrawn;
    for (auto& [data_centre, entry] : table.entries)
    {
        if (entry.change.revision >= update.position || listed.contains(data_centre))
        {
            continue;
        }
        if (entry.change.is_withdrawn)
        {
            entry.held_back.reset();
        }
        else if (known.is_first_of_era)
        {
            evacuation_change withdrawal = entry.change;
            withdrawal.revision = update.position;
            withdrawal.is_withdrawn = true;
            hold_back(entry, withdrawal, now);
        }
        else
        {
            withdraw(entry, update.position, now);
            withdrawn.push_back(entry.change);
        }
    }
    return withdrawn;
}

} // namespace

bool is_evacuated(const evacuation_table& table, data_centre_id data_centre)
{
    const auto found = table.entries.find(data_centre);
    return found != table.entries.end() && !found->second.change.is_withdrawn;
}

std::vector<known_evacuation> evacuations_in_force(const evacuation_table& table)
{
    std::vector<known_evacuation> in_force;
    for (const auto& [data_centre, entry] : table.entries)
    {
        if (!entry.change.is_withdrawn)
        {
            in_force.push_back(entry);
        }
    }
    std::ranges::sort(in_force, {},
                      [](const known_evacuation& each)
                      { return std::pair(each.change.name, each.change.data_centre); });
    return in_force;
}

std::vector<evacuation_change> changes_since(const evacuation_table& table,
                                             state_revision position)
{
    std::vector<evacuation_change> changes;
    for (const auto& [data_centre, entry] : table.entries)
    {
        if (entry.change.revision > position)
        {
            changes.push_back(entry.held_back.value_or(entry.change));
        }
    }
    return changes;
}

std::string name_of(const evacuation_change& change)
{
    return change.name.empty() ? std::to_string(change.data_centre.value) : change.name;
}

std::vector<evacuation_change> apply_evacuations(evacuation_table& table,
                                                 const state_update& update,
                                                 state_revision own_position,
                                                 time_point now)
{
    const bool is_authoritative = update.is_whole && update.position >= own_position;
    const known_range known{
        .outdated = is_authoritative ? state_revision() : own_position,
        .removable = is_authoritative ? update.position : own_position,
        .is_first_of_era =
            own_position != state_revision() && update.position.era > own_position.era};
    std::vector<evacuation_change> changes;
    if (is_authoritative)
    {
        changes = withdraw_unlisted(table, update, known, now);
    }
    for (const evacuation_change& each : update.evacuations)
    {
        if (apply_evacuation(table, each, known, now))
        {
            changes.push_back(table.entries.at(each.data_centre).change);
        }
    }
    return changes;
}

std::vector<evacuation_change> use_held_back_evacuations(evacuation_table& table,
                                                         time_point now)
{
    std::vector<evacuation_change> used;
    for (auto& [data_centre, entry] : table.entries)
    {
        if (entry.held_back && now >= entry.held_back_until)
        {
            entry = {.change = *entry.held_back, .since = now};
            used.push_back(entry.change);
        }
    }
    return used;
}

void mark_evacuated_targets(target_directory& directory, const evacuation_table& table,
                            std::optional<data_centre_id> excepted)
{
    for (known_target& each : directory.targets)
    {
        const data_centre_id id = each.record.data_centre;
        each.is_evacuated = id != excepted && is_evacuated(table, id);
    }
}

} // namespace kumquatpath
