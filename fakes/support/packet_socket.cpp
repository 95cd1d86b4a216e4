#include <boost/leaf/handle_errors.hpp>

#include <support/packet_socket.hpp>

namespace kumquatpath::fakes
{

packet_socket::packet_socket(boost::asio::io_context& context, const endpoint& address,
                             handler on_packet)
    : socket_(context, address,
              [this](byte_view datagram, const endpoint& source)
              { handle_datagram(datagram, source); }),
      on_packet_(std::move(on_packet))
{
}

void packet_socket::send(const packet_header& header, byte_view payload,
                         const endpoint& destination)
{
    socket_.send(encode_packet(builder_, header, payload), destination);
}

void packet_socket::handle_datagram(byte_view datagram, const endpoint& source)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_AUTO(packet, decode_packet(datagram));
            on_packet_(packet, source);
            return {};
        },
        [this] { ++malformed_datagrams_; });
}

} // namespace kumquatpath::fakes
