#ifndef KUMQUATPATH_EDGE_SPSC_QUEUE_HPP
#define KUMQUATPATH_EDGE_SPSC_QUEUE_HPP

/// \file
/// The bounded ring that joins two threads, each of which has one duty.

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <utility>

namespace kumquatpath
{

/// A ring from one producing thread to one consuming thread.
///
/// A full ring takes nothing more: push() returns false and counts the element as
/// refused, so that what was lost shows among the metrics. Neither side ever waits.
template <class Element>
class spsc_queue
{
public:
    explicit spsc_queue(std::size_t capacity) : queue_(capacity) {}

    /// Adds \p element unless the ring is full. Returns whether it was added.
    bool push(Element element)
    {
        if (queue_.push(std::move(element)))
        {
            return true;
        }
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    /// Calls \p consume for every element that is there.
    template <class Consume>
    void consume_all(Consume&& consume)
    {
        queue_.consume_all(std::forward<Consume>(consume));
    }

    /// Returns how many elements were refused so far.
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
