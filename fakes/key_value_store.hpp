#ifndef KUMQUATPATH_FAKES_KEY_VALUE_STORE_HPP
#define KUMQUATPATH_FAKES_KEY_VALUE_STORE_HPP

/// \file
/// The state of the stand-in platform: keys with revisions, leases, and the lagging list
/// of instances.

#include <kumquatpath/model/time.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace kumquatpath::fakes
{

/// The longest value, in bytes.
inline constexpr std::size_t longest_value = 1U << 20U;

/// A key's value and the revision of its last write.
struct stored_value
{
    std::string value;
    std::uint64_t revision = 0;
    /// The lease that the key goes with; 0 for none.
    std::uint64_t lease = 0;
};

/// What came of a write.
struct write_result
{
    bool done = false;
    /// The key's revision after the write; when it was refused, the one that stood in the
    /// way.
    std::uint64_t revision = 0;
};

/// A lease, and when it lapses.
struct stored_lease
{
    duration time_to_live{};
    time_point lapses_at{};
};

/// The instances as they were told at one time.
struct instance_snapshot
{
    time_point told_at{};
    std::map<std::string, boost::json::object> instances;
};

/// Everything that the platform holds.
struct key_value_store
{
    std::map<std::string, stored_value> values;
    std::map<std::uint64_t, stored_lease> leases;
    std::deque<instance_snapshot> instances{{}};
    /// Counts every write; the global revision.
    std::uint64_t revision = 0;
    std::uint64_t next_lease = 1;
};

/// Returns the value of \p key, or nothing.
const stored_value* find_value(const key_value_store& store, const std::string& key);

/// Writes \p key if its revision is \p expected (0: absent; nothing: any).
write_result put_value(key_value_store& store, const std::string& key, stored_value value,
                       std::optional<std::uint64_t> expected);

/// Deletes \p key if its revision is \p expected (nothing: any).
write_result delete_value(key_value_store& store, const std::string& key,
                          std::optional<std::uint64_t> expected);

/// Grants a lease and returns its id.
std::uint64_t grant_lease(key_value_store& store, duration time_to_live, time_point now);

/// Renews a lease; returns false when it is not there any more.
bool renew_lease(key_value_store& store, std::uint64_t lease, time_point now);

/// Ends a lease and deletes the keys that go with it.
void end_lease(key_value_store& store, std::uint64_t lease);

/// Ends every lease that has lapsed; returns whether there was one.
bool lapse_leases(key_value_store& store, time_point now);

/// Records that the list of instances has changed: \p told is what holds for \p name from
/// now on, nothing when it is gone.
void tell_instance(key_value_store& store, const std::string& name,
                   std::optional<boost::json::object> told, time_point now);

/// Returns the list of instances as it was \p lag ago, and forgets older ones.
const instance_snapshot& lagging_instances(key_value_store& store, duration lag,
                                           time_point now);

} // namespace kumquatpath::fakes

#endif
