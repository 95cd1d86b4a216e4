#ifndef KUMQUATPATH_EDGE_SPSC_QUEUE_HPP
#define KUMQUATPATH_EDGE_SPSC_QUEUE_HPP

/// \file
/// A bounded single-producer, single-consumer queue between two threads.

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <utility>

namespace kumquatpath
{

/// A bounded queue from one producer thread to one consumer thread. Neither side blocks.
///
/// When the queue is full, push() drops the element, counts it and returns false. The
/// count allows the caller to report the loss.
template <class Element>
class spsc_queue
{
public:
    explicit spsc_queue(std::size_t capacity) : queue_(capacity) {}

    /// Adds \p element unless the queue is full. Returns whether it was added.
    bool push(Element element)
    {
        if (queue_.push(std::move(element)))
        {
            return true;
        }
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Removes every queued element and calls \p consume with it.
    template <class Consume>
    void consume_all(Consume&& consume)
    {
        queue_.consume_all(std::forward<Consume>(consume));
    }

    /// Returns how many elements were dropped so far.
    std::uint64_t dropped() const
    {
        return dropped_.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::spsc_queue<Element> queue_;
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace kumquatpath

#endif
