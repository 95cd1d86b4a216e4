#include <kumquatpath/edge/udp_port.hpp>

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

constexpr std::size_t batch_size = udp_port::batch_size;
/// Room for bursts in the kernel, in bytes.
constexpr int kernel_buffer_size = 4 << 20;

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

/// The memory of one batch in one direction.
struct batch
{
    explicit batch(std::size_t longest)
        : longest_datagram(longest), memory(batch_size * longest)
    {
        for (std::size_t i = 0; i < batch_size; ++i)
        {
            parts[i] = {.iov_base = slot(i), .iov_len = longest};
            headers[i].msg_hdr = {.msg_name = &addresses[i],
                                  .msg_namelen = sizeof(sockaddr_in),
                                  .msg_iov = &parts[i],
                                  .msg_iovlen = 1};
        }
    }

    std::byte* slot(std::size_t i)
    {
        return memory.data() + i * longest_datagram;
    }

    std::size_t longest_datagram;
    std::vector<std::byte> memory;
    std::array<sockaddr_in, batch_size> addresses{};
    std::array<iovec, batch_size> parts{};
    std::array<mmsghdr, batch_size> headers{};
};

} // namespace

struct udp_port::buffers
{
    explicit buffers(std::size_t longest_datagram)
        // One byte more than is allowed tells an over-long datagram from a longest one.
        : incoming(longest_datagram + 1), outgoing(longest_datagram)
    {
    }

    batch incoming;
    batch outgoing;
    std::size_t queued = 0;
    std::array<received_datagram, batch_size> received{};
};

udp_port::udp_port(boost::asio::io_context& context, const endpoint& local,
                   std::size_t longest_datagram)
    : socket_(context, boost::asio::ip::udp::v4()),
      buffers_(std::make_unique<buffers>(longest_datagram)),
      alive_(std::make_shared<int>())
{
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kernel_buffer_size));
    socket_.set_option(boost::asio::socket_base::send_buffer_size(kernel_buffer_size));
    socket_.bind({boost::asio::ip::address_v4(local.address), local.port});
    socket_.non_blocking(true);
}

udp_port::~udp_port() = default;

void udp_port::on_readable(std::function<void()> handler)
{
    handler_ = std::move(handler);
    wait();
}

void udp_port::wait()
{
    socket_.async_wait(
        boost::asio::socket_base::wait_read,
        [this, alive = std::weak_ptr(alive_)](const boost::system::error_code& failure)
        {
            if (failure || alive.expired())
            {
                return;
            }
            handler_();
            wait();
        });
}

std::span<const received_datagram> udp_port::receive()
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
            .bytes = {incoming.slot(i), incoming.headers[i].msg_len}};
    }
    return std::span(buffers_->received).first(received);
}

void udp_port::queue(const endpoint& to, payload_view bytes)
{
    batch& outgoing = buffers_->outgoing;
    if (bytes.size() > outgoing.longest_datagram)
    {
        ++send_failures_;
        return;
    }
    const std::size_t place = buffers_->queued;
    std::memcpy(outgoing.slot(place), bytes.data(), bytes.size());
    outgoing.parts[place].iov_len = bytes.size();
    outgoing.addresses[place] = to_socket_address(to);
    ++buffers_->queued;
    if (buffers_->queued == batch_size)
    {
        flush();
    }
}

void udp_port::flush()
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
            // The first datagram that is left was refused; the ones behind it may pass.
            ++send_failures_;
            ++sent;
            continue;
        }
        sent += static_cast<std::size_t>(count);
    }
    buffers_->queued = 0;
}

std::uint64_t udp_port::send_failures() const
{
    return send_failures_;
}

} // namespace kumquatpath
