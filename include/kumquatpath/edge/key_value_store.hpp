#ifndef KUMQUATPATH_EDGE_KEY_VALUE_STORE_HPP
#define KUMQUATPATH_EDGE_KEY_VALUE_STORE_HPP

/// \file
/// The platform's key-value service, as an interface that tests replace.

#include <kumquatpath/model/strong_type.hpp>

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpath
{

/// Numbers the writes of a key; it grows with each write. 0 stands for "absent".
using revision = strong_type<struct revision_tag, std::uint64_t>;
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
    revision current_revision;
};

/// A failure: there is no such key.
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

/// A write that takes effect only if the key is as the writer believes it to be.
struct write_options
{
    std::string key;
    std::string value;
    /// The revision that the key must have; 0: the key must be absent.
    revision expected;
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

    // Commands.

    /// Writes a value and returns its revision. Fails also with store_conflict.
    virtual boost::leaf::result<revision> write(const write_options& options) = 0;

    /// Removes \p key if its revision is \p expected. Fails also with store_conflict and
    /// store_not_found.
    virtual boost::leaf::result<void> erase(std::string_view key, revision expected) = 0;
};

} // namespace kumquatpath

#endif
