#ifndef KUMQUATPATH_MODEL_JSON_POINTER_HPP
#define KUMQUATPATH_MODEL_JSON_POINTER_HPP

/// \file
/// JSON pointers (RFC 6901).

#include <string>
#include <string_view>

namespace kumquatpath
{

/// Returns the pointer to the member \p key of the object at \p parent. Escapes '~' and
/// '/' in \p key.
std::string child_pointer(std::string_view parent, std::string_view key);

} // namespace kumquatpath

#endif
