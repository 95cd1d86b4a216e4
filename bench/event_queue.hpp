#ifndef KUMQUATPATH_BENCH_EVENT_QUEUE_HPP
#define KUMQUATPATH_BENCH_EVENT_QUEUE_HPP

/// \file
/// The event queue of a discrete-event simulation in virtual time.

#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace kumquatpath::bench
{

/// Runs events in order of their scheduled time. Events scheduled for the same time run
/// in the order in which they were added.
class event_queue
{
public:
    /// Schedules \p action to run at \p when.
    void schedule_at(time_point when, std::function<void()> action)
    {
        events_.push({when, next_sequence_number_++, std::move(action)});
    }

    /// Schedules \p action to run \p delay after now().
    void schedule_after(duration delay, std::function<void()> action)
    {
        schedule_at(now_ + delay, std::move(action));
    }

    /// Returns the current virtual time: the time of the event that runs or ran last, or
    /// the end of the last run_until().
    time_point now() const
    {
        return now_;
    }

    /// Runs all events scheduled up to and including \p end, also those that are added
    /// meanwhile, then sets now() to \p end.
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end)
        {
            event next_event = events_.top();
            events_.pop();
            now_ = next_event.when;
            next_event.action();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t sequence_number = 0;
        std::function<void()> action;

        /// Reversed, because std::priority_queue has its greatest element on top and the
        /// earliest event has to be there.
        bool operator<(const event& other) const
        {
            return std::pair(when, sequence_number) >
                   std::pair(other.when, other.sequence_number);
        }
    };

    std::priority_queue<event> events_;
    time_point now_;
    std::uint64_t next_sequence_number_ = 0;
};

} // namespace kumquatpath::bench

#endif
