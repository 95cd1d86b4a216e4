#ifndef KUMQUATPATH_EDGE_KEY_VALUE_STORE_HPP
#define KUMQUATPATH_EDGE_KEY_VALUE_STORE_HPP

/// \file
/// The interface to the platform's key-value store. Tests provide a fake implementation.

#include <kumquatpath/model/strong_type.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpath
{

/// The revision of a key, which increases with each write. 0 means that the key is
/// absent.
using revision = strong_type<struct revision_tag, std::uint64_t>;

/// A failure: the platform could not be reached, or reported that it is down or that its
/// rate limit is exceeded. The call has not taken effect.
struct store_unreachable
{
};

/// A failure: no response was received in time. A write may have taken effect or may
/// still do so.
struct store_timeout
{
};

/// A failure: the key does not have the expected revision.
struct store_conflict
{
    /// The key's actual revision.
    revision current_revision;
};

/// A failure: the key does not exist.
struct store_not_found
{
};

/// A failure: the response violates the platform's protocol. A write may have taken
/// effect. The kumquatpath client reports this failure under the name of the struct.
struct store_malformed_answer
{
    /// The HTTP status code of the response.
    unsigned status = 0;
};

/// A key with its value and revision in the store.
struct stored_value
{
    std::string key;
    std::string value;
    kumquatpath::revision revision;
};

/// A conditional write: it takes effect only if the key has the expected revision.
struct write_request
{
    std::string key;
    std::string value;
    /// The revision that the key must have. 0 means that the key must be absent.
    revision expected;
};

/// The platform's key-value store. Every call blocks for a bounded time and may fail with
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

    /// Returns the value of \p key. May also fail with store_not_found.
    virtual boost::leaf::result<stored_value> read(std::string_view key) = 0;

    // Commands.

    /// Writes a value and returns its new revision. May also fail with store_conflict.
    virtual boost::leaf::result<revision> write(const write_request& request) = 0;

    /// Deletes \p key if its revision is \p expected. May also fail with store_conflict
    /// or store_not_found.
    virtual boost::leaf::result<void> erase(std::string_view key, revision expected) = 0;
};

} // namespace kumquatpath

#endif
