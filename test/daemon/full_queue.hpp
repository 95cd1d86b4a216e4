#ifndef KUMQUATPATH_TEST_DAEMON_FULL_QUEUE_HPP
#define KUMQUATPATH_TEST_DAEMON_FULL_QUEUE_HPP

/// \file
/// A queue to a packet_worker that consumes messages only when told to.

#include <kumquatpath/edge/message_queue.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include <messages.hpp>

#include <chrono>
#include <string>
#include <thread>

namespace kumquatpath::test
{

/// Holds one message; further ones are dropped until consume() is called.
class full_queue
{
public:
    explicit full_queue(std::function<void(packet_worker_message)> handle)
        : queue_(context_, 1, std::move(handle))
    {
    }

    void send(packet_worker_message message)
    {
        queue_.send(std::move(message));
        ++sent_;
    }

    /// Waits for at most 5 s until \p count messages were sent or dropped. Returns
    /// whether they were.
    bool wait_for(std::uint64_t count) const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (sent_ < count && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return sent_ >= count;
    }

    /// Handles the queued message.
    void consume()
    {
        context_.restart();
        context_.poll();
    }

    std::uint64_t dropped() const
    {
        return queue_.dropped();
    }

private:
    boost::asio::io_context context_;
    message_queue<packet_worker_message> queue_;
    std::atomic<std::uint64_t> sent_ = 0;
};

/// Returns all that the peer of \p socket sends until it closes the connection.
inline std::string read_to_end(boost::asio::ip::tcp::socket& socket)
{
    std::string text;
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), ignored);
    return text;
}

} // namespace kumquatpath::test

#endif
