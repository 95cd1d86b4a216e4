#ifndef KUMQUATPATH_BENCH_CAPACITY_BYTES_ON_WIRE_HPP
#define KUMQUATPATH_BENCH_CAPACITY_BYTES_ON_WIRE_HPP

/// \file
/// The size of messages between instances as a network carries them.

#include <kumquatpath/edge/peer_codec.hpp>

namespace kumquatpath::bench
{

/// Returns the bytes of the datagram that carries \p body, with its headers of IP and
/// UDP.
double bytes_on_wire(const peer_body& body);

} // namespace kumquatpath::bench

#endif
