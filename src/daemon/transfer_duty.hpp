#ifndef KUMQUATPATH_DAEMON_TRANSFER_DUTY_HPP
#define KUMQUATPATH_DAEMON_TRANSFER_DUTY_HPP

/// \file
/// The duty that hands the shared state from instance to instance, over TCP.
///
/// A frame is its length in four bytes, most significant first, and one encoded message.
/// A connection carries one request and one reply.

#include "messages.hpp"

#include <kumquatpath/edge/peer_authentication.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace kumquatpath
{

/// What the transfer duty needs to know.
struct transfer_options
{
    endpoint local;
    peer_key key{};
    instance_id self;
    configuration_parser read_configuration = nullptr;
};

/// Answers peers that ask for the shared state, and asks them. All of it belongs to the
/// thread in run(). A connection that takes longer than two seconds is closed.
class transfer_duty
{
public:
    /// Binds the port of peers. Throws boost::system::system_error if that fails.
    transfer_duty(const transfer_options& options,
                  std::function<void(packet_input)> output);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Asks a peer. asking_ended follows in every case.
    void ask(const ask_peer& order);

    void run();

    /// Ends run(); from any thread.
    void stop();

private:
    struct session;

    void accept();
    void answer(const std::shared_ptr<session>& opened, payload_view message);
    void take_reply(instance_id by, payload_view message);

    transfer_options options_;
    std::function<void(packet_input)> output_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t open_sessions_ = 0;
};

} // namespace kumquatpath

#endif
