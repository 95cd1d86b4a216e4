#ifndef KUMQUATPATH_EDGE_INBOX_HPP
#define KUMQUATPATH_EDGE_INBOX_HPP

/// \file
/// A ring whose consuming thread runs an io_context and is woken when something comes.

#include <kumquatpath/edge/ring.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <utility>

namespace kumquatpath
{

/// Joins one producing thread to the thread that runs an io_context.
template <class Message>
class inbox
{
public:
    /// \p consume is called on the thread of \p context for each message that comes.
    inbox(boost::asio::io_context& context, std::size_t capacity,
          std::function<void(Message)> consume)
        : context_(context), ring_(capacity), consume_(std::move(consume))
    {
    }

    /// Sends \p message; a full ring refuses and counts it. Returns whether it was taken.
    bool send(Message message)
    {
        const bool is_taken = ring_.push(std::move(message));
        boost::asio::post(context_, [this] { ring_.drain(consume_); });
        return is_taken;
    }

    /// Returns how many messages were refused so far.
    std::uint64_t refused() const
    {
        return ring_.refused();
    }

private:
    boost::asio::io_context& context_;
    ring<Message> ring_;
    std::function<void(Message)> consume_;
};

} // namespace kumquatpath

#endif
