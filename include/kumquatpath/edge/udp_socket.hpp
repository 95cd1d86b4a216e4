#ifndef KUMQUATPATH_EDGE_UDP_SOCKET_HPP
#define KUMQUATPATH_EDGE_UDP_SOCKET_HPP

/// \file
/// A UDP socket that receives and sends datagrams in batches.

#include <kumquatpath/model/bytes.hpp>
#include <kumquatpath/model/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace kumquatpath
{

/// A received datagram. The bytes stay valid until the next call of
/// udp_socket::receive().
struct received_datagram
{
    endpoint source;
    byte_view bytes;
};

/// A bound UDP socket. All functions must be called on the thread that runs the
/// io_context.
///
/// Outgoing datagrams are queued and sent in batches. A datagram that the kernel does not
/// accept is dropped and counted, not retried: the network may drop any datagram too.
class udp_socket
{
public:
    /// The maximum number of datagrams that one system call receives or sends.
    static constexpr std::size_t batch_size = 64;

    /// Binds to \p local. \p max_datagram_bytes is the maximum size of a datagram that is
    /// sent. Throws boost::system::system_error if the socket cannot be bound.
    udp_socket(boost::asio::io_context& context, const endpoint& local,
               std::size_t max_datagram_bytes);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// Calls \p handler whenever datagrams are available, until the socket is destroyed.
    void on_readable(std::function<void()> handler);

    /// Returns the available datagrams, at most batch_size of them, without blocking. A
    /// datagram that exceeds the maximum size is truncated to one byte more than that
    /// size, so that the caller can reject it.
    std::span<const received_datagram> receive();

    /// Copies \p bytes to the queue of datagrams to send to \p destination. Sends all
    /// queued datagrams when a batch is full.
    void queue(const endpoint& destination, byte_view bytes);

    /// Sends all queued datagrams.
    void flush();

    /// Returns how many datagrams were dropped because they were too long or the kernel
    /// did not accept them.
    std::uint64_t send_failures() const;

private:
    struct buffers;

    void wait_until_readable();

    boost::asio::ip::udp::socket socket_;
    std::unique_ptr<buffers> buffers_;
    std::function<void()> handler_;
    /// Reset when the socket is destroyed. A wait that completed just before the
    /// destruction detects this through a weak pointer and does not access the destroyed
    /// socket.
    std::shared_ptr<void> lifetime_;
    std::uint64_t send_failures_ = 0;
};

} // namespace kumquatpath

#endif
