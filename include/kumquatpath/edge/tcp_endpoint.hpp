#ifndef KUMQUATPATH_EDGE_TCP_ENDPOINT_HPP
#define KUMQUATPATH_EDGE_TCP_ENDPOINT_HPP

/// \file
/// Addresses as Asio takes them.

#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace kumquatpath
{

/// Returns \p value as an address of a TCP socket.
inline boost::asio::ip::tcp::endpoint to_tcp_endpoint(const endpoint& value)
{
    return {boost::asio::ip::address_v4(value.address), value.port};
}

} // namespace kumquatpath

#endif
