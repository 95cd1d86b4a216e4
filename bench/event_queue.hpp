#ifndef KUMQUATPATH_BENCH_EVENT_QUEUE_HPP
#define KUMQUATPATH_BENCH_EVENT_QUEUE_HPP

/// \file
/// Virtual time for benches and randomised tests: what is due first runs first.

#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace kumquatpath::bench
{

/// Runs events in the order of their times; events of one time run in the order in which
/// they were scheduled, so a run depends on nothing but its seed.
class event_queue
{
public:
    using event = std::function<void()>;

    /// Returns the virtual time: that of the event that runs, or ran last.
    time_point now() const
    {
        return now_;
    }

    /// Schedules \p what to run after \p delay.
    void after(duration delay, event what)
    {
        entries_.push({now_ + delay, next_++, std::move(what)});
    }

    /// Runs every event that is due up to \p end, and sets the time to \p end.
    void run_until(time_point end)
    {
        while (!entries_.empty() && entries_.top().due <= end)
        {
            // The event may schedule others, so it leaves the queue before it runs.
            const event what = std::move(entries_.top().what);
            now_ = entries_.top().due;
            entries_.pop();
            what();
        }
        now_ = end;
    }

private:
    struct entry
    {
        time_point due;
        std::uint64_t order = 0;
        mutable event what;

        bool operator<(const entry& other) const
        {
            return std::pair(due, order) > std::pair(other.due, other.order);
        }
    };

    std::priority_queue<entry> entries_;
    time_point now_{};
    std::uint64_t next_ = 0;
};

} // namespace kumquatpath::bench

#endif
