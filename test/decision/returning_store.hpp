#ifndef KUMQUATPATH_TEST_DECISION_RETURNING_STORE_HPP
#define KUMQUATPATH_TEST_DECISION_RETURNING_STORE_HPP

/// \file
/// A store that comes back from older copies of itself, with the targets and operators
/// that write there and write again what was lost.

#include "entry_fixture.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath::test
{

/// The store removes the entry of a target that is silent for this long.
inline constexpr duration lapse_time = std::chrono::milliseconds(3600);

/// What may happen to a process that announces itself.
enum class target_event : std::uint8_t
{
    drain,
    leave,
    /// Its entry stands until it lapses.
    crash,
};

/// What the store holds, and the changes that a watch can return.
struct stored_state
{
    std::uint64_t revision = 1;
    std::map<std::uint64_t, target_change> entries;
    std::map<std::uint64_t, target_change> changes;
    std::optional<evacuation_change> evacuation;
    std::map<std::uint64_t, evacuation_change> evacuation_changes;
    shared_configuration configuration;
    /// The changes up to this one can't be watched.
    std::uint64_t compacted = 0;
};

/// A process that announces itself.
struct running_target
{
    bool is_alive = false;
    bool is_draining = false;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// When a process that has ended was last heard.
    time_point heard_at;
};

/// The store and its writers.
struct returning_store
{
    stored_state state;
    store_era era{1};
    std::vector<stored_state> copies;
    /// When it last came back.
    time_point returned_at;
    std::map<std::uint64_t, running_target> targets;
    std::uint64_t starts = 0;
    std::uint64_t newest_generation = 0;
    std::shared_ptr<const routing_table> newest_table;
    /// The operators want the data centre north to be evacuated.
    bool is_evacuated = false;

    state_revision next_revision()
    {
        return {++state.revision, era};
    }

    /// The target with \p key announces itself.
    void write_entry(std::uint64_t key)
    {
        running_target& target = targets[key];
        target_change change = announcement(key, 0);
        change.revision = next_revision();
        change.record->is_draining = target.is_draining;
        change.record->incarnation = target.incarnation;
        change.record->sequence = ++target.sequence;
        state.entries[key] = change;
        state.changes[change.revision.value] = change;
    }

    void remove_entry(std::uint64_t key)
    {
        if (state.entries.erase(key) > 0)
        {
            target_change change = departure(key, 0);
            change.revision = next_revision();
            state.changes[change.revision.value] = change;
        }
    }

    /// A process of the target with \p key starts if none runs; otherwise \p event
    /// happens to the one that runs.
    void change_target(std::uint64_t key, target_event event, time_point now)
    {
        running_target& target = targets[key];
        if (!target.is_alive)
        {
            target = {.is_alive = true, .incarnation = ++starts};
            write_entry(key);
            return;
        }
        switch (event)
        {
        case target_event::drain:
            target.is_draining = true;
            write_entry(key);
            break;
        case target_event::leave:
            target.is_alive = false;
            target.heard_at = now;
            remove_entry(key);
            break;
        case target_event::crash:
            // It crashes, so its entry stands until it lapses.
            target.is_alive = false;
            target.heard_at = now;
            break;
        }
    }

    void write_configuration()
    {
        auto table = std::make_shared<routing_table>(web_table());
        table->generation = {++newest_generation};
        put_configuration(std::move(table));
    }

    void put_configuration(std::shared_ptr<const routing_table> table)
    {
        if (table->generation >= generation{newest_generation})
        {
            newest_table = table;
        }
        const state_revision revision = next_revision();
        state.configuration = {.revision = revision,
                               .written = revision,
                               .text = std::make_shared<const std::string>("text"),
                               .table = std::move(table)};
    }

    void write_evacuation()
    {
        const evacuation_change change{.data_centre = north,
                                       .name = "north",
                                       .revision = next_revision(),
                                       .is_withdrawn = !is_evacuated};
        state.evacuation_changes[change.revision.value] = change;
        state.evacuation = is_evacuated ? std::optional(change) : std::nullopt;
    }

    /// Each writer finds that the store lacks what it wrote, and writes it again.
    void write_again(time_point now)
    {
        for (auto& [key, target] : targets)
        {
            const auto found = state.entries.find(key);
            if (!target.is_alive)
            {
                if (now >= target.heard_at + lapse_time)
                {
                    remove_entry(key);
                }
                continue;
            }
            const bool stands = found != state.entries.end() &&
                                found->second.record->incarnation == target.incarnation &&
                                found->second.record->is_draining == target.is_draining;
            if (!stands)
            {
                write_entry(key);
            }
        }
        if (state.configuration.table->generation < newest_table->generation)
        {
            // The lost ones are written again one after the other.
            auto next = std::make_shared<routing_table>(web_table());
            next->generation = {state.configuration.table->generation.value + 1};
            put_configuration(std::move(next));
        }
        if (state.evacuation.has_value() != is_evacuated)
        {
            write_evacuation();
        }
    }

    /// The store comes back as it was when \p copy was made.
    void return_from_copy(std::size_t copy, time_point now)
    {
        ++era.value;
        state = copies[copy];
        state.compacted = state.revision;
        copies = {state};
        // Targets that ended in between were last heard by the copy.
        for (auto& [key, target] : targets)
        {
            target.heard_at = target.is_alive ? target.heard_at : now;
        }
        returned_at = now;
    }

    /// Returns the whole state, as a reader gets it in this era.
    state_update listing() const
    {
        const state_revision position{state.revision, era};
        state_update update{
            .position = position, .complete_from = position, .is_whole = true};
        for (const auto& [key, change] : state.entries)
        {
            update.targets.push_back(change);
            update.targets.back().revision.era = era;
        }
        if (state.evacuation)
        {
            update.evacuations.push_back(*state.evacuation);
            update.evacuations.back().revision.era = era;
        }
        return update;
    }

    /// Returns the configuration, as a reader gets it in this era.
    shared_configuration listed_configuration() const
    {
        shared_configuration configuration = state.configuration;
        configuration.revision.era = era;
        configuration.written.era = era;
        return configuration;
    }

    bool can_be_watched_from(state_revision position) const
    {
        return position.era == era && position.value >= state.compacted;
    }

    state_update changes_since(state_revision position) const
    {
        state_update update{.position = {state.revision, era}, .complete_from = position};
        for (auto each = state.changes.upper_bound(position.value);
             each != state.changes.end(); ++each)
        {
            update.targets.push_back(each->second);
        }
        for (auto each = state.evacuation_changes.upper_bound(position.value);
             each != state.evacuation_changes.end(); ++each)
        {
            update.evacuations.push_back(each->second);
        }
        return update;
    }
};

} // namespace kumquatpath::test

#endif
