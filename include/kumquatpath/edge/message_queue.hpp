#ifndef KUMQUATPATH_EDGE_MESSAGE_QUEUE_HPP
#define KUMQUATPATH_EDGE_MESSAGE_QUEUE_HPP

/// \file
/// A bounded queue whose messages are consumed on the thread of an io_context.

#include <kumquatpath/edge/spsc_queue.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <utility>

namespace kumquatpath
{

/// Passes messages from one producer thread to the thread that runs an io_context.
template <class Message>
class message_queue
{
public:
    /// Calls \p consume on the thread of \p context for each message. \p capacity is the
    /// maximum number of queued messages.
    message_queue(boost::asio::io_context& context, std::size_t capacity,
                  std::function<void(Message)> consume)
        : context_(context), queue_(capacity), consume_(std::move(consume))
    {
    }

    /// Queues \p message, or drops and counts it if the queue is full. Returns whether it
    /// was queued.
    bool send(Message message)
    {
        const bool is_queued = queue_.push(std::move(message));
        boost::asio::post(context_, [this] { queue_.consume_all(consume_); });
        return is_queued;
    }

    /// Returns how many messages were dropped so far.
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
