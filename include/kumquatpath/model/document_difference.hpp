#ifndef KUMQUATPATH_MODEL_DOCUMENT_DIFFERENCE_HPP
#define KUMQUATPATH_MODEL_DOCUMENT_DIFFERENCE_HPP

/// \file
/// Comparing and merging documents by the objects that they name.
///
/// Documents that are compared or merged have passed the check, or are empty objects.

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The place of one named object: a section's member or, if \c target is not empty, one
/// target of a pool. The path of a pool stands for the pool without its targets.
struct object_path
{
    std::string section;
    std::string name;
    std::string target;

    friend auto operator<=>(const object_path&, const object_path&) = default;
};

/// Returns \p path as a JSON pointer.
std::string to_pointer(const object_path& path);

/// What happened to an object.
enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

/// Returns the word for \p kind.
std::string_view to_string(change_kind kind) noexcept;

/// One object that differs between two documents.
struct object_change
{
    change_kind kind = change_kind::changed;
    object_path path;
    /// The object's value in either document; null where it is absent.
    boost::json::value before;
    boost::json::value after;
};

/// Returns every named object that differs, in ascending order of path.
std::vector<object_change> changes_between(const boost::json::value& before,
                                           const boost::json::value& after);

/// The failure of merge_documents(): objects that both sides changed in different ways.
struct merge_conflict
{
    std::vector<object_path> objects;
};

/// Returns \p theirs with the changes that lead from \p base to \p ours. Fails with
/// merge_conflict when both sides changed an object and don't agree on it.
///
/// The result is not checked: two changes that are right alone can be wrong together.
boost::leaf::result<boost::json::value> merge_documents(const boost::json::value& base,
                                                        const boost::json::value& ours,
                                                        const boost::json::value& theirs);

} // namespace kumquatpath

#endif
