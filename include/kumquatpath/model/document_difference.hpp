#ifndef KUMQUATPATH_MODEL_DOCUMENT_DIFFERENCE_HPP
#define KUMQUATPATH_MODEL_DOCUMENT_DIFFERENCE_HPP

/// \file
/// Comparison and merging of configuration documents, object by object.
///
/// The documents passed to these functions must have passed the check or be empty
/// objects.

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The path of one named object: a member of a section or, if \c target is not empty, one
/// target of a pool. The path of a pool denotes the pool without its targets.
struct object_path
{
    std::string section;
    std::string name;
    std::string target;

    friend auto operator<=>(const object_path&, const object_path&) = default;
};

/// Returns \p path as a JSON pointer (RFC 6901).
std::string to_pointer(const object_path& path);

/// How an object differs from one document to another.
enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

/// Returns the name of \p kind: "added", "removed" or "changed".
std::string_view to_string(change_kind kind) noexcept;

/// One object that differs between two documents.
struct object_change
{
    change_kind kind = change_kind::changed;
    object_path path;
    /// The value of the object in each document; null where the object is absent, and
    /// always null for a pool.
    boost::json::value before;
    boost::json::value after;
};

/// Returns every named object that differs between the documents, in ascending order of
/// path.
std::vector<object_change> changes_between(const boost::json::value& before,
                                           const boost::json::value& after);

/// The failure of merge_documents(): objects that both sides changed in different ways,
/// and changes that do not fit because the other side removed a pool or added to it.
struct merge_conflict
{
    std::vector<object_path> objects;
};

/// Applies the changes from \p base to \p ours to \p theirs and returns the result. Fails
/// with merge_conflict.
///
/// The result is not checked: two changes that are each valid can be invalid together.
boost::leaf::result<boost::json::value> merge_documents(const boost::json::value& base,
                                                        const boost::json::value& ours,
                                                        const boost::json::value& theirs);

} // namespace kumquatpath

#endif
