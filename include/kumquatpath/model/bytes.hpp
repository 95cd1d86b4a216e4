#ifndef KUMQUATPATH_MODEL_BYTES_HPP
#define KUMQUATPATH_MODEL_BYTES_HPP

/// \file
/// A non-owning view of bytes.

#include <cstddef>
#include <span>

namespace kumquatpath
{

/// A non-owning view of a datagram, a payload or an encoded message. The owner of the
/// bytes determines how long the view is valid.
using byte_view = std::span<const std::byte>;

} // namespace kumquatpath

#endif
