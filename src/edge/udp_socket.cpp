#include <kumquatpath/edge/udp_socket.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <vector>

namespace kumquatpath
{
namespace
{

constexpr std::size_t batch_size = udp_socket::batch_size;
/// The size of the kernel's send and receive buffers. Large buffers absorb bursts.
constexpr int socket_buffer_bytes = 4 << 20;

sockaddr_in to_socket_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    address.sin_addr.s_addr = htonl(value.address);
    return address;
}

endpoint from_socket_address(const sockaddr_in& address)
{
    return {.address = ntohl(address.sin_addr.s_addr), .port = ntohs(address.sin_port)};
}

/// The buffers and message headers of one batch of received or of sent datagrams.
struct batch
{
    explicit batch(std::size_t max_bytes)
        : max_datagram_bytes(max_bytes), memory(batch_size * max_bytes)
    {
        for (std::size_t i = 0; i < batch_size; ++i)
        {
            iovecs[i] = {.iov_base = datagram_buffer(i), .iov_len = max_bytes};
            headers[i].msg_hdr = {.msg_name = &addresses[i],
                                  .msg_namelen = sizeof(sockaddr_in),
                                  .msg_iov = &iovecs[i],
                                  .msg_iovlen = 1};
        }
    }

    std::byte* datagram_buffer(std::size_t i)
    {
        return memory.data() + i * max_datagram_bytes;
    }

    std::size_t max_datagram_bytes;
    std::vector<std::byte> memory;
    std::array<sockaddr_in, batch_size> addresses{};
    std::array<iovec, batch_size> iovecs{};
    std::array<mmsghdr, batch_size> headers{};
};

} // namespace

struct udp_socket::buffers
{
    explicit buffers(std::size_t max_datagram_bytes)
        // With one extra byte, a datagram that is too long and was cut off can be told
        // from one of exactly the maximum size.
        : incoming(max_datagram_bytes + 1), outgoing(max_datagram_bytes)
    {
    }

    batch incoming;
    batch outgoing;
    std::size_t queued = 0;
    std::array<received_datagram, batch_size> received{};
};

udp_socket::udp_socket(boost::asio::io_context& context, const endpoint& local,
                       std::size_t max_datagram_bytes)
    : socket_(context, boost::asio::ip::udp::v4()),
      buffers_(std::make_unique<buffers>(max_datagram_bytes)),
      lifetime_(std::make_shared<int>())
{
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(socket_buffer_bytes));
    socket_.set_option(boost::asio::socket_base::send_buffer_size(socket_buffer_bytes));
    socket_.bind({boost::asio::ip::address_v4(local.address), local.port});
    socket_.non_blocking(true);
}

udp_socket::~udp_socket() = default;

void udp_socket::on_readable(std::function<void()> handler)
{
    handler_ = std::move(handler);
    wait_until_readable();
}

void udp_socket::wait_until_readable()
{
    socket_.async_wait(boost::asio::socket_base::wait_read,
                       [this, lifetime = std::weak_ptr(lifetime_)](
                           const boost::system::error_code& error)
                       {
                           if (error || lifetime.expired())
                           {
                               return;
                           }
                           handler_();
                           wait_until_readable();
                       });
}

std::span<const received_datagram> udp_socket::receive()
{
    batch& incoming = buffers_->incoming;
    for (mmsghdr& each : incoming.headers)
    {
        each.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = recvmmsg(socket_.native_handle(), incoming.headers.data(),
                               batch_size, MSG_DONTWAIT, nullptr);
    const auto received = static_cast<std::size_t>(std::max(count, 0));
    for (std::size_t i = 0; i < received; ++i)
    {
        buffers_->received[i] = {
            .source = from_socket_address(incoming.addresses[i]),
            .bytes = {incoming.datagram_buffer(i), incoming.headers[i].msg_len}};
    }
    return std::span(buffers_->received).first(received);
}

void udp_socket::queue(const endpoint& destination, byte_view bytes)
{
    batch& outgoing = buffers_->outgoing;
    if (bytes.size() > outgoing.max_datagram_bytes)
    {
        ++send_failures_;
        return;
    }
    const std::size_t index = buffers_->queued;
    std::memcpy(outgoing.datagram_buffer(index), bytes.data(), bytes.size());
    outgoing.iovecs[index].iov_len = bytes.size();
    outgoing.addresses[index] = to_socket_address(destination);
    ++buffers_->queued;
    if (buffers_->queued == batch_size)
    {
        flush();
    }
}

void udp_socket::flush()
{
    batch& outgoing = buffers_->outgoing;
    std::size_t sent = 0;
    while (sent < buffers_->queued)
    {
        const int count =
            sendmmsg(socket_.native_handle(), outgoing.headers.data() + sent,
                     static_cast<unsigned>(buffers_->queued - sent), MSG_DONTWAIT);
        if (count <= 0)
        {
            // The kernel did not accept the first unsent datagram. Skip it, because it
            // may accept the ones after it.
            ++send_failures_;
            ++sent;
            continue;
        }
        sent += static_cast<std::size_t>(count);
    }
    buffers_->queued = 0;
}

std::uint64_t udp_socket::send_failures() const
{
    return send_failures_;
}

} // namespace kumquatpath
