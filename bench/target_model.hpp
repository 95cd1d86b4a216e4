#ifndef KUMQUATPATH_BENCH_TARGET_MODEL_HPP
#define KUMQUATPATH_BENCH_TARGET_MODEL_HPP

/// \file
/// A target in virtual time: a few servers behind a bounded queue, served in order of
/// arrival. It skips queued work whose deadline has passed, sheds what finds its queue
/// full, is slow while it is cold, and may mislead or fall silent.

#include "event_queue.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

namespace kumquatpath::bench
{

/// What a target does with its work.
enum class target_behaviour
{
    normal,
    /// Refuses every request at once.
    sheds_all,
    /// Takes every request and never answers.
    silent,
};

/// How a target ended a request.
enum class job_end
{
    done,
    shed,
};

/// One request at a target.
struct target_job
{
    /// The time that a warm server needs for it.
    duration work{0};
    time_point deadline;
    std::function<void(job_end)> ended;
};

/// The options of a target.
struct target_options
{
    std::size_t servers = 3;
    std::size_t queue = 64;
    target_behaviour behaviour = target_behaviour::normal;
    /// A cold target starts at this speed, relative to a warm one, and warms up evenly.
    double cold_speed = 1;
    duration warm_up{0};
    time_point started{};
};

/// A target that runs on an event queue.
class target_model
{
public:
    target_model(event_queue& events, const target_options& options)
        : events_(events), options_(options)
    {
    }

    /// Takes \p job, and later calls its `ended` at most once.
    void submit(target_job job)
    {
        ++submitted_;
        if (options_.behaviour == target_behaviour::silent)
        {
            return;
        }
        const bool is_full = waiting_.size() >= options_.queue;
        if (options_.behaviour == target_behaviour::sheds_all || is_full)
        {
            job.ended(job_end::shed);
            return;
        }
        waiting_.push_back(std::move(job));
        serve();
    }

    /// Changes the behaviour; what is being served still ends.
    void behave(target_behaviour behaviour)
    {
        options_.behaviour = behaviour;
    }

    /// Returns the speed at the present time, relative to a warm target.
    double speed() const
    {
        const duration age = events_.now() - options_.started;
        if (age >= options_.warm_up)
        {
            return 1;
        }
        const double part = std::chrono::duration<double>(age) /
                            std::chrono::duration<double>(options_.warm_up);
        return options_.cold_speed + (1 - options_.cold_speed) * part;
    }

    /// Returns the count of requests that wait or are being served.
    std::size_t load() const
    {
        return waiting_.size() + busy_;
    }

    /// Returns the count of all requests that ever came.
    std::size_t submitted() const
    {
        return submitted_;
    }

private:
    void serve()
    {
        while (busy_ < options_.servers && !waiting_.empty())
        {
            target_job job = std::move(waiting_.front());
            waiting_.pop_front();
            if (job.deadline > events_.now())
            {
                start(std::move(job));
            }
        }
    }

    void start(target_job job)
    {
        ++busy_;
        const auto needed = std::chrono::duration_cast<duration>(job.work / speed());
        events_.after(needed,
                      [this, ended = std::move(job.ended)]
                      {
                          --busy_;
                          if (options_.behaviour != target_behaviour::silent)
                          {
                              ended(job_end::done);
                          }
                          serve();
                      });
    }

    event_queue& events_;
    target_options options_;
    std::deque<target_job> waiting_;
    std::size_t busy_ = 0;
    std::size_t submitted_ = 0;
};

} // namespace kumquatpath::bench

#endif
