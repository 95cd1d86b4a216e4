#ifndef KUMQUATPATH_FAKES_SUPPORT_PACKET_SOCKET_HPP
#define KUMQUATPATH_FAKES_SUPPORT_PACKET_SOCKET_HPP

/// \file
/// A UDP socket that sends and receives encoded packets.

#include <kumquatpath/edge/packet_codec.hpp>
#include <kumquatpath/model/endpoint.hpp>

#include <support/datagram_socket.hpp>

#include <functional>

namespace kumquatpath::fakes
{

/// A bound UDP socket. Datagrams that cannot be decoded as packets are counted and
/// dropped.
class packet_socket
{
public:
    using handler = std::function<void(const decoded_packet&, const endpoint& source)>;

    /// Binds \p address and passes each packet to \p on_packet. Throws if the address
    /// cannot be bound.
    packet_socket(boost::asio::io_context& context, const endpoint& address,
                  handler on_packet);

    /// Sends one packet to \p destination.
    void send(const packet_header& header, byte_view payload,
              const endpoint& destination);

    /// Returns the number of datagrams that could not be decoded.
    std::uint64_t malformed_datagrams() const
    {
        return malformed_datagrams_;
    }

private:
    void handle_datagram(byte_view datagram, const endpoint& source);

    datagram_socket socket_;
    handler on_packet_;
    flatbuffers::FlatBufferBuilder builder_;
    std::uint64_t malformed_datagrams_ = 0;
};

} // namespace kumquatpath::fakes

#endif
