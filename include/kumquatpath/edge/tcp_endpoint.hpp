#ifndef KUMQUATPATH_EDGE_TCP_ENDPOINT_HPP
#define KUMQUATPATH_EDGE_TCP_ENDPOINT_HPP

/// \file
/// Conversion of addresses to Asio's endpoint types.

#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace kumquatpath
{

/// Converts \p value to an Asio TCP endpoint.
inline boost::asio::ip::tcp::endpoint to_tcp_endpoint(const endpoint& value)
{
    return {boost::asio::ip::address_v4(value.address), value.port};
}

} // namespace kumquatpath

#endif
