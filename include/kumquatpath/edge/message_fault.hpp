#ifndef KUMQUATPATH_EDGE_MESSAGE_FAULT_HPP
#define KUMQUATPATH_EDGE_MESSAGE_FAULT_HPP

/// \file
/// Why a datagram or message can't be read.

#include <cstdint>

namespace kumquatpath
{

/// Why a codec refuses a message.
enum class message_fault : std::uint8_t
{
    malformed,
    unknown_version,
    unauthenticated,
};

} // namespace kumquatpath

#endif
