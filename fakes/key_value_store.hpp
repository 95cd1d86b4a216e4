#ifndef KUMQUATPATH_FAKES_KEY_VALUE_STORE_HPP
#define KUMQUATPATH_FAKES_KEY_VALUE_STORE_HPP

/// \file
/// The store of the fake platform: keys with revisions, their change history, and leases.

#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath::fakes
{

/// The longest value, in bytes after base64 decoding.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// The number of events kept for watches. A watch that needs an older event fails.
inline constexpr std::size_t max_events = 10'000;

/// A key's value and the revision of its last write.
struct stored_value
{
    /// In base64, as received.
    std::string value;
    std::uint64_t revision = 0;
    /// The revision of the write that created the key.
    std::uint64_t created_revision = 0;
    /// The lease whose end deletes the key; 0 for none.
    std::uint64_t lease = 0;
};

/// A change of a key, as watches report it.
struct stored_event
{
    std::string key;
    std::uint64_t revision = 0;
    /// The new value; empty if the key was deleted.
    std::optional<stored_value> value;
};

/// The revision that a key must have for a transaction to take effect.
struct precondition
{
    std::string key;
    /// 0 if the key must not exist.
    std::uint64_t revision = 0;
};

/// Writes and deletions that take effect atomically if all preconditions hold.
struct transaction
{
    std::vector<precondition> preconditions;
    std::map<std::string, stored_value> writes;
    std::vector<std::string> deletes;
};

/// A lease and its expiry time.
struct stored_lease
{
    duration time_to_live{};
    time_point expires_at{};
};

/// The keys, leases and change history of the store.
struct key_value_store
{
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, stored_lease> leases;
    std::deque<stored_event> events;
    /// The latest revision whose events may have been removed from the history.
    std::uint64_t compacted_revision = 0;
    /// The revision of the last change; 1 before the first one.
    std::uint64_t revision = 1;
    std::uint64_t next_lease = 1;
    /// How often the store has come back from a copy, starting with 1.
    std::uint64_t era = 1;
};

/// Returns the value of \p key, or nullptr if the key does not exist.
const stored_value* find_value(const key_value_store& store, const std::string& key);

/// Executes \p operation if all its preconditions hold. Returns whether it was executed.
bool execute(key_value_store& store, const transaction& operation);

/// Removes all events up to the current revision, so that watches from an earlier one
/// fail.
void compact_history(key_value_store& store);

/// Brings the store back as it was in \p copy, an older copy of it without its history,
/// in its next era.
void return_from_copy(key_value_store& store, const key_value_store& copy);

/// Grants a lease and returns its id.
std::uint64_t grant_lease(key_value_store& store, duration time_to_live, time_point now);

/// Renews a lease by its time to live. Returns false if it does not exist or has expired.
bool renew_lease(key_value_store& store, std::uint64_t lease, time_point now);

/// Removes a lease and deletes its keys.
void end_lease(key_value_store& store, std::uint64_t lease);

/// Ends the leases that have expired by \p now. Returns whether there were any.
bool expire_leases(key_value_store& store, time_point now);

} // namespace kumquatpath::fakes

#endif
