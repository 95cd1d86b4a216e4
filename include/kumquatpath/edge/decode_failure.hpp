#ifndef KUMQUATPATH_EDGE_DECODE_FAILURE_HPP
#define KUMQUATPATH_EDGE_DECODE_FAILURE_HPP

/// \file
/// The reasons for which a packet or message is rejected when it is decoded.

#include <cstdint>

namespace kumquatpath
{

/// Why a packet or message was rejected.
enum class decode_failure : std::uint8_t
{
    /// The message is too short, too long or wrongly encoded, or the value of a field is
    /// not valid.
    malformed,
    /// The message has a version that this release does not support.
    unknown_version,
    /// The message authentication code does not match.
    unauthenticated,
};

} // namespace kumquatpath

#endif
