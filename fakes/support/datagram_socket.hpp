#ifndef KUMQUATPATH_FAKES_SUPPORT_DATAGRAM_SOCKET_HPP
#define KUMQUATPATH_FAKES_SUPPORT_DATAGRAM_SOCKET_HPP

/// \file
/// A UDP socket that passes received datagrams to a handler.

#include <kumquatpath/model/bytes.hpp>
#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace kumquatpath::fakes
{

/// Converts an endpoint to the Asio endpoint type of \p Protocol.
template <class Protocol>
typename Protocol::endpoint to_asio_endpoint(const endpoint& from)
{
    return {boost::asio::ip::address_v4(from.address), from.port};
}

/// A bound UDP socket that receives for as long as it exists. Send errors are ignored:
/// the datagram is lost, as it may be on any network.
class datagram_socket
{
public:
    using handler = std::function<void(byte_view datagram, const endpoint& source)>;

    /// Binds \p address and passes each datagram to \p on_datagram. Throws if the address
    /// cannot be bound.
    datagram_socket(boost::asio::io_context& context, const endpoint& address,
                    handler on_datagram);

    /// Sends one datagram, without blocking.
    void send(byte_view datagram, const endpoint& destination);

private:
    void receive();

    /// The size of the receive buffer. A longer datagram is truncated.
    static constexpr std::size_t max_datagram_bytes = 4096;

    boost::asio::ip::udp::socket socket_;
    handler on_datagram_;
    std::array<std::byte, max_datagram_bytes> buffer_{};
    boost::asio::ip::udp::endpoint source_;
};

} // namespace kumquatpath::fakes

#endif
