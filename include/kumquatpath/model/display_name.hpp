#ifndef KUMQUATPATH_MODEL_DISPLAY_NAME_HPP
#define KUMQUATPATH_MODEL_DISPLAY_NAME_HPP

/// \file
/// The names that the shared state may carry into logs, pages and metrics.

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace kumquatpath
{

inline constexpr std::size_t max_display_name_bytes = 128;

/// Returns whether \p name consists of 1 to max_display_name_bytes visible ASCII
/// characters other than a slash, a backslash and a quotation mark. Such a name needs no
/// escaping in a log, a page or a metric.
inline bool is_display_name(std::string_view name) noexcept
{
    return !name.empty() && name.size() <= max_display_name_bytes &&
           std::all_of(name.begin(), name.end(),
                       [](char each) {
                           return each > ' ' && each <= '~' && each != '/' &&
                                  each != '\\' && each != '"';
                       });
}

} // namespace kumquatpath

#endif
