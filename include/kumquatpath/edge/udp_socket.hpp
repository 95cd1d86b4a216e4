#ifndef KUMQUATPATH_EDGE_UDP_SOCKET_HPP
#define KUMQUATPATH_EDGE_UDP_SOCKET_HPP

/// \file
/// A UDP socket that receives and sends in batches.

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

/// A datagram that was received; the bytes stay valid until the next receive.
struct received_datagram
{
    endpoint source;
    byte_view bytes;
};

/// A bound UDP socket. All functions belong to the thread that runs the io_context.
///
/// Sends are queued and go out in one system call; a datagram that the kernel does not
/// take is dropped and counted, as any network may drop it.
class udp_socket
{
public:
    /// The most datagrams that one call receives.
    static constexpr std::size_t batch_size = 64;

    /// Binds to \p local. Throws boost::system::system_error if that fails.
    udp_socket(boost::asio::io_context& context, const endpoint& local,
               std::size_t max_datagram_bytes);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// Calls \p handler whenever datagrams wait, until the port is closed.
    void on_readable(std::function<void()> handler);

    /// Receives the datagrams that wait, up to one batch; none means none wait.
    std::span<const received_datagram> receive();

    /// Queues \p bytes, which are copied, to be sent to \p to; sends when a batch is
    /// full.
    void queue(const endpoint& destination, byte_view bytes);

    /// Sends what is queued.
    void flush();

    /// Returns how many datagrams the kernel refused.
    std::uint64_t send_failures() const;

private:
    struct buffers;

    void wait_until_readable();

    boost::asio::ip::udp::socket socket_;
    std::unique_ptr<buffers> buffers_;
    std::function<void()> handler_;
    /// Expires with the port: a wait that ended just before must not touch it.
    std::shared_ptr<void> lifetime_;
    std::uint64_t send_failures_ = 0;
};

} // namespace kumquatpath

#endif
