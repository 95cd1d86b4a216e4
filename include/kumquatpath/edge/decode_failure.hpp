#ifndef KUMQUATPATH_EDGE_DECODE_FAILURE_HPP
#define KUMQUATPATH_EDGE_DECODE_FAILURE_HPP

/// \file
/// Why a datagram or message can't be read.

#include <cstdint>

namespace kumquatpath
{

/// Why a codec refuses a message.
enum class decode_failure : std::uint8_t
{
    malformed,
    unknown_version,
    unauthenticated,
};

} // namespace kumquatpath

#endif
