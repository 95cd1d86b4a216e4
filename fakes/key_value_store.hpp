#ifndef KUMQUATPATH_FAKES_KEY_VALUE_STORE_HPP
#define KUMQUATPATH_FAKES_KEY_VALUE_STORE_HPP

/// \file
/// The state of the stand-in platform: keys with revisions, their history, and leases.

#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath::fakes
{

/// The longest value, in bytes.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// The events that are kept for watches; a watch that needs older ones is told so.
inline constexpr std::size_t max_events = 10'000;

/// A key's value and the revision of its last write.
struct stored_value
{
    /// In base64, as it came.
    std::string value;
    std::uint64_t revision = 0;
    /// The revision of the write that made the key.
    std::uint64_t created_revision = 0;
    /// The lease that the key goes with; 0 for none.
    std::uint64_t lease = 0;
};

/// A change as watches tell it.
struct stored_event
{
    std::string key;
    std::uint64_t revision = 0;
    /// What was written; nothing if the key was deleted.
    std::optional<stored_value> value;
};

/// What a key must be for a transaction to take effect.
struct precondition
{
    std::string key;
    /// 0: the key is not there.
    std::uint64_t revision = 0;
};

/// Writes and deletions that take effect together or not at all.
struct transaction
{
    std::vector<precondition> preconditions;
    std::map<std::string, stored_value> writes;
    std::vector<std::string> deletes;
};

/// A lease, and when it lapses.
struct stored_lease
{
    duration time_to_live{};
    time_point expires_at{};
};

/// Everything that the platform holds.
struct key_value_store
{
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, stored_lease> leases;
    std::deque<stored_event> events;
    /// The newest revision whose event is no longer kept.
    std::uint64_t compacted_revision = 0;
    /// Counts every change.
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
};

/// Returns the value of \p key, or nothing.
const stored_value* find_value(const key_value_store& store, const std::string& key);

/// Carries out \p change if all that it expects holds. Returns whether it does.
bool execute(key_value_store& store, const transaction& operation);

/// Drops the history that watches read.
void compact_history(key_value_store& store);

/// Grants a lease and returns its id.
std::uint64_t grant_lease(key_value_store& store, duration time_to_live, time_point now);

/// Renews a lease; returns false when it is not there any more.
bool renew_lease(key_value_store& store, std::uint64_t lease, time_point now);

/// Ends a lease and deletes its keys.
void end_lease(key_value_store& store, std::uint64_t lease);

/// Ends the leases that have lapsed. Returns whether there were any.
bool expire_leases(key_value_store& store, time_point now);

} // namespace kumquatpath::fakes

#endif
