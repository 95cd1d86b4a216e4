#ifndef KUMQUATPATH_DAEMON_STATE_TRANSFER_HPP
#define KUMQUATPATH_DAEMON_STATE_TRANSFER_HPP

/// \file
/// The thread that exchanges the shared state with peers over TCP.
///
/// A connection carries one request and one reply. Each is a frame: the length of the
/// encoded message in four bytes, most significant byte first, followed by the message.

#include "messages.hpp"

#include <kumquatpath/edge/peer_authentication.hpp>
#include <kumquatpath/edge/traffic_counter.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>

namespace kumquatpath
{

/// The identity of this instance, its address for peers, the key that it shares with them
/// and the parser for the configurations that they send.
struct state_transfer_options
{
    endpoint local;
    peer_key key{};
    instance_id self;
    configuration_parser parse_configuration = nullptr;
};

/// Serves peers' requests for the shared state and sends such requests to peers. Only
/// stop() and total_traffic() may be called from threads other than the one in run(). A
/// connection that is open for longer than 1.5 seconds is closed.
class state_transfer
{
public:
    /// Binds the port for peers. Throws boost::system::system_error if it cannot be
    /// bound. \p send_message passes messages to the packet_worker.
    state_transfer(const state_transfer_options& options,
                   std::function<void(packet_worker_message)> send_message);

    /// Returns the context that run() runs.
    boost::asio::io_context& context();

    /// Sends a request to a peer. Sends a peer_reply if a valid reply arrives, and a
    /// peer_query_completion in every case.
    void query_peer(const peer_query& query);

    /// Serves connections until stop() is called.
    void run();

    /// Makes run() return. May be called from any thread.
    void stop();

    /// Returns the bytes of all frames that were carried whole, with their length
    /// prefixes, also of those that were refused. A frame that broke off is not counted.
    /// May be called from any thread.
    traffic total_traffic() const noexcept;

private:
    struct session;

    void accept();
    void handle_request(const std::shared_ptr<session>& connection, byte_view message);
    void handle_reply(instance_id sender, byte_view message);
    /// Compresses the configuration of \p reply, once for each configuration.
    void compress_configuration(state_reply& reply);

    state_transfer_options options_;
    std::function<void(packet_worker_message)> send_message_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    /// Atomic because the packet_worker may drop the last reference to a session.
    std::atomic<std::size_t> open_sessions_ = 0;
    traffic_counter traffic_;
    configuration_version compressed_configuration_;
    /// The text of compressed_configuration_.
    std::string compressed_text_;
};

} // namespace kumquatpath

#endif
