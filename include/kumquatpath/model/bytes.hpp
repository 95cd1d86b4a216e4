#ifndef KUMQUATPATH_MODEL_BYTES_HPP
#define KUMQUATPATH_MODEL_BYTES_HPP

/// \file
/// Bytes that somebody else owns.

#include <cstddef>
#include <span>

namespace kumquatpath
{

/// A datagram, a payload or an encoded message, valid for as long as its owner says.
using byte_view = std::span<const std::byte>;

} // namespace kumquatpath

#endif
