#include <boost/asio/buffer.hpp>

#include <support/datagram_socket.hpp>

namespace kumquatpath::fakes
{
namespace
{

using boost::asio::ip::udp;

/// The size of the kernel's send and receive buffers in bytes, large enough that a burst
/// is not lost.
constexpr int socket_buffer_size = 4 << 20;

endpoint from_asio_endpoint(const udp::endpoint& from)
{
    return {.address = from.address().to_v4().to_uint(), .port = from.port()};
}

} // namespace

datagram_socket::datagram_socket(boost::asio::io_context& context,
                                 const endpoint& address, handler on_datagram)
    : socket_(context, to_asio_endpoint<udp>(address)),
      on_datagram_(std::move(on_datagram))
{
    socket_.non_blocking(true);
    socket_.set_option(udp::socket::receive_buffer_size(socket_buffer_size));
    socket_.set_option(udp::socket::send_buffer_size(socket_buffer_size));
    receive();
}

void datagram_socket::send(byte_view datagram, const endpoint& destination)
{
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(datagram.data(), datagram.size()),
                    to_asio_endpoint<udp>(destination), 0, ignored);
}

void datagram_socket::receive()
{
    socket_.async_receive_from(
        boost::asio::buffer(buffer_), source_,
        [this](const boost::system::error_code& error, std::size_t size)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                // The socket was closed, so this object may no longer exist.
                return;
            }
            if (!error)
            {
                on_datagram_({buffer_.data(), size}, from_asio_endpoint(source_));
            }
            receive();
        });
}

} // namespace kumquatpath::fakes
