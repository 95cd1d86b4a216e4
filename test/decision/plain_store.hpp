#ifndef KUMQUATPATH_TEST_DECISION_PLAIN_STORE_HPP
#define KUMQUATPATH_TEST_DECISION_PLAIN_STORE_HPP

/// \file
/// A store that keeps all its changes, with what they say about each target at any time.

#include "entry_fixture.hpp"

#include <algorithm>
#include <map>

namespace kumquatpath::test
{

inline constexpr std::uint64_t key_count = 7;

/// The store's changes, by key and revision. Each revision changes one key.
struct plain_store
{
    std::uint64_t revision = 1;
    std::map<std::uint64_t, std::map<std::uint64_t, target_change>> changes;
    /// The changes up to this one can't be watched any more.
    std::uint64_t compacted = 0;

    /// Writes the announcement of \p key, removes it, or writes an entry that is
    /// unusable.
    void change(std::uint64_t key, bool is_departure, bool is_unusable = false)
    {
        ++revision;
        target_change& change = changes[key][revision];
        change = is_departure ? departure(key, revision) : announcement(key, revision);
        change.is_unusable = is_departure && is_unusable;
    }

    /// Returns the last change of \p key at \p position, or null if there was none.
    const target_change* last_change(std::uint64_t key, std::uint64_t position) const
    {
        const auto found = changes.find(key);
        if (found == changes.end())
        {
            return nullptr;
        }
        const auto next = found->second.upper_bound(position);
        return next == found->second.begin() ? nullptr : &std::prev(next)->second;
    }

    bool is_announced(std::uint64_t key, std::uint64_t position) const
    {
        const target_change* const last = last_change(key, position);
        return last != nullptr && !last->is_gone;
    }

    bool is_unusable(std::uint64_t key, std::uint64_t position) const
    {
        const target_change* const last = last_change(key, position);
        return last != nullptr && last->is_unusable;
    }

    bool departed_after(std::uint64_t key, std::uint64_t position) const
    {
        const auto found = changes.find(key);
        return found != changes.end() &&
               std::any_of(found->second.upper_bound(position), found->second.end(),
                           [](const auto& each) { return each.second.is_gone; });
    }

    std::vector<target_change> changes_after(std::uint64_t position) const
    {
        std::vector<target_change> result;
        for (std::uint64_t at = position + 1; at <= revision; ++at)
        {
            for (const auto& [key, of_key] : changes)
            {
                const auto found = of_key.find(at);
                if (found != of_key.end())
                {
                    result.push_back(found->second);
                }
            }
        }
        return result;
    }

    /// Returns a listing at \p position, of which the keys from \p split on were read
    /// only now, on a later page.
    state_update listing(std::uint64_t position, std::uint64_t split) const
    {
        state_update update{
            .position = {position}, .complete_from = {position}, .is_whole = true};
        for (std::uint64_t key = 1; key <= key_count; ++key)
        {
            const std::uint64_t read_at = key < split ? position : revision;
            if (is_announced(key, read_at) || is_unusable(key, read_at))
            {
                update.targets.push_back(*last_change(key, read_at));
            }
        }
        return update;
    }
};

} // namespace kumquatpath::test

#endif
