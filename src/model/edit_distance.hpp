#ifndef KUMQUATPATH_MODEL_EDIT_DISTANCE_HPP
#define KUMQUATPATH_MODEL_EDIT_DISTANCE_HPP

/// \file
/// Finds the most similar name to suggest for a misspelt one.

#include <span>
#include <string_view>

namespace kumquatpath
{

/// Returns the Levenshtein distance: the minimum number of insertions, deletions and
/// substitutions of one character that turn \p from into \p to.
std::size_t edit_distance(std::string_view from, std::string_view to);

/// Returns the candidate with the smallest edit distance to \p name, the first one on a
/// tie. Returns an empty view if every distance is greater than both 2 and a third of
/// the length of \p name.
std::string_view nearest_name(std::string_view name,
                              std::span<const std::string_view> candidates);

} // namespace kumquatpath

#endif
