#ifndef KUMQUATPATH_EDGE_COMPRESSION_HPP
#define KUMQUATPATH_EDGE_COMPRESSION_HPP

/// \file
/// Compression of texts that instances send each other, in zlib's format.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatpath
{

/// Returns \p text compressed, or nothing if there is no memory for it. Fast rather than
/// small.
std::optional<std::string> compress(std::string_view text);

/// Returns the text that \p compressed holds. Returns nothing if that is not a complete
/// compressed text or is longer than \p max_bytes.
std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes);

} // namespace kumquatpath

#endif
