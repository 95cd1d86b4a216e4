#ifndef KUMQUATPATH_DAEMON_STATE_TRANSFER_HPP
#define KUMQUATPATH_DAEMON_STATE_TRANSFER_HPP

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
struct state_transfer_options
{
    endpoint local;
    peer_key key{};
    instance_id self;
    configuration_parser read_configuration = nullptr;
};

/// Answers peers that ask for the shared state, and asks them. All of it belongs to the
/// thread in run(). A connection that takes longer than two seconds is closed.
class state_transfer
{
public:
    /// Binds the port of peers. Throws boost::system::system_error if that fails.
    state_transfer(const state_transfer_options& options,
                   std::function<void(packet_worker_message)> send_message);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Asks a peer. peer_query_completion follows in every case.
    void query_peer(const peer_query& query);

    void run();

    /// Ends run(); from any thread.
    void stop();

private:
    struct session;

    void accept();
    void handle_request(const std::shared_ptr<session>& connection, byte_view message);
    void handle_reply(instance_id sender, byte_view message);

    state_transfer_options options_;
    std::function<void(packet_worker_message)> send_message_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t open_sessions_ = 0;
};

} // namespace kumquatpath

#endif
