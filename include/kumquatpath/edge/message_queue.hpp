#ifndef KUMQUATPATH_EDGE_MESSAGE_QUEUE_HPP
#define KUMQUATPATH_EDGE_MESSAGE_QUEUE_HPP

/// \file
/// A ring whose consuming thread runs an io_context and is woken when something comes.

#include <kumquatpath/edge/spsc_queue.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <utility>

namespace kumquatpath
{

/// Joins one producing thread to the thread that runs an io_context.
template <class Message>
class message_queue
{
public:
    /// \p consume is called on the thread of \p context for each message that comes.
    message_queue(boost::asio::io_context& context, std::size_t capacity,
                  std::function<void(Message)> consume)
        : context_(context), queue_(capacity), consume_(std::move(consume))
    {
    }

    /// Sends \p message; a full ring refuses and counts it. Returns whether it was taken.
    bool send(Message message)
    {
        const bool is_queued = queue_.push(std::move(message));
        boost::asio::post(context_, [this] { queue_.consume_all(consume_); });
        return is_queued;
    }

    /// Returns how many messages were refused so far.
    std::uint64_t dropped() const
    {
        return queue_.dropped();
    }

private:
    boost::asio::io_context& context_;
    spsc_queue<Message> queue_;
    std::function<void(Message)> consume_;
};

} // namespace kumquatpath

#endif
