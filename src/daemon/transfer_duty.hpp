#ifndef KUMQUATPATH_DAEMON_TRANSFER_DUTY_HPP
#define KUMQUATPATH_DAEMON_TRANSFER_DUTY_HPP

/// \file
/// The duty that hands whole configurations from instance to instance, over TCP.
///
/// A frame is its length in four bytes, most significant first, and one encoded peer
/// message. A connection carries one request and one reply.

#include "messages.hpp"
#include "settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace kumquatpath
{

/// Answers peers that ask for the configuration, and fetches it from peers. All of it
/// belongs to the thread in run().
class transfer_duty
{
public:
    /// Binds the port of peers. \p output takes what was fetched. Throws
    /// boost::system::system_error if the port cannot be bound.
    transfer_duty(const daemon_settings& settings,
                  std::function<void(packet_message)> output);

    /// Returns the context whose thread this duty is.
    boost::asio::io_context& context();

    /// Takes a message of the packet duty.
    void handle(const transfer_message& message);

    /// Serves until stop().
    void run();

    /// Ends run(); may be called from any thread.
    void stop();

private:
    struct session;

    void accept();
    void fetch(const fetch_configuration& order);
    std::vector<std::byte> reply_to(payload_view message);
    void take_reply(payload_view message);

    daemon_settings settings_;
    std::function<void(packet_message)> output_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    publish_configuration published_;
    std::size_t open_sessions_ = 0;
    bool is_fetching_ = false;
};

} // namespace kumquatpath

#endif
