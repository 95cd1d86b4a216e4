#ifndef KUMQUATPATH_EDGE_KEY_VALUE_STORE_HPP
#define KUMQUATPATH_EDGE_KEY_VALUE_STORE_HPP

/// \file
/// The platform's key-value service and its list of instances, as an interface that tests
/// replace.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/strong.hpp>

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// Numbers the writes of a key; it grows with each write. 0 stands for "absent".
using revision = strong<struct revision_tag, std::uint64_t>;
/// Identifies a lease that the platform granted.
using lease_id = strong<struct lease_tag, std::uint64_t>;

/// A failure: the platform was not reached, or said that it is down or over its rate. The
/// call has not taken effect.
struct store_unreachable
{
};

/// A failure: no answer came in time. A write may have taken effect, or may still do so.
struct store_timeout
{
};

/// A failure: the key's revision is not the expected one; \c present is.
struct store_conflict
{
    revision present;
};

/// A failure: there is no such key or lease.
struct store_not_found
{
};

/// A failure: the answer does not follow the platform's protocol. A write may have taken
/// effect.
struct store_malformed_answer
{
    unsigned status = 0;
};

/// A value as the platform holds it.
struct stored_value
{
    std::string key;
    std::string value;
    kumquatpath::revision revision;
};

/// Whether the platform believes an instance to be there.
enum class platform_instance_state : std::uint8_t
{
    live,
    leaving,
};

/// One line of the platform's list of instances, which lags behind the truth.
struct platform_instance
{
    std::string name;
    /// Where the instance hears its peers.
    endpoint address;
    /// Where the instance answers its operators over HTTP; "none" when it doesn't say.
    endpoint operator_address;
    std::string data_centre;
    platform_instance_state state = platform_instance_state::live;
};

/// A write that takes effect only if the key is as the writer believes it to be.
struct write_options
{
    std::string key;
    std::string value;
    /// The revision that the key must have; 0: the key must be absent.
    revision expected;
    /// The key goes when this lease does.
    std::optional<lease_id> lease;
};

/// The platform's service. Every call blocks for a bounded time. Every call may fail with
/// store_unreachable, store_timeout or store_malformed_answer.
class key_value_store
{
public:
    key_value_store() = default;
    virtual ~key_value_store() = default;
    key_value_store(const key_value_store&) = delete;
    key_value_store& operator=(const key_value_store&) = delete;
    key_value_store(key_value_store&&) = delete;
    key_value_store& operator=(key_value_store&&) = delete;

    // Queries.

    /// Returns the value of \p key. Fails also with store_not_found.
    virtual boost::leaf::result<stored_value> read(std::string_view key) = 0;

    /// Waits until the revision of \p key is over \p known, and returns the value;
    /// returns nothing when \p wait has passed. Fails also with store_not_found.
    virtual boost::leaf::result<std::optional<stored_value>>
    read_newer(std::string_view key, revision known, std::chrono::milliseconds wait) = 0;

    /// Returns every key that starts with \p prefix.
    virtual boost::leaf::result<std::vector<stored_value>>
    list(std::string_view prefix) = 0;

    /// Returns the platform's list of instances.
    virtual boost::leaf::result<std::vector<platform_instance>> instances() = 0;

    // Commands.

    /// Writes a value and returns its revision. Fails also with store_conflict.
    virtual boost::leaf::result<revision> write(const write_options& options) = 0;

    /// Removes \p key if its revision is \p expected. Fails also with store_conflict and
    /// store_not_found.
    virtual boost::leaf::result<void> erase(std::string_view key, revision expected) = 0;

    /// Returns a new lease, which lapses \p lifetime after its last renewal.
    virtual boost::leaf::result<lease_id>
    grant_lease(std::chrono::milliseconds lifetime) = 0;

    /// Renews \p lease. Fails also with store_not_found when it has lapsed.
    virtual boost::leaf::result<void> renew_lease(lease_id lease) = 0;

    /// Ends \p lease. Fails also with store_not_found when it has lapsed.
    virtual boost::leaf::result<void> revoke_lease(lease_id lease) = 0;
};

} // namespace kumquatpath

#endif
