#ifndef KUMQUATPATH_BENCH_FLEET_MODEL_HPP
#define KUMQUATPATH_BENCH_FLEET_MODEL_HPP

/// \file
/// A model of a deployment in virtual time: callers, a fabric that hashes flows over the
/// instances that are up, entry instances that decide with the product's own functions,
/// and targets with slots and a bounded queue that shed what they cannot hold.
///
/// Answers go from the target to the caller directly. Openings are copied after 200 and
/// 600 ms and given up after 1.4 s. Links take a fixed time; a cut between two data
/// centres loses what instances of the one send to targets of the other.

#include "event_queue.hpp"

#include <kumquatpath/decision/entry_instance.hpp>
#include <kumquatpath/decision/opening_queue.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kumquatpath::bench
{

/// How new flows are placed.
enum class placement_policy
{
    /// By the product's decisions.
    steering,
    /// On any target that takes flows; copies too.
    random,
    /// On the target that the flow's hash names; copies go there too.
    hashed,
};

/// The time of a packet between a caller and an instance or target.
inline constexpr duration caller_link = std::chrono::milliseconds(3);

/// What is modelled.
struct model_options
{
    placement_policy policy = placement_policy::steering;
    std::uint64_t seed = 1;
    std::uint32_t data_centres = 3;
    std::uint32_t instances_each = 3;
    std::uint32_t targets_each = 5;
    std::uint32_t slots = 3;
    std::uint32_t queue = 12;
    /// Requests a second in each data centre.
    double rate_each = 130;
    double work_ms = 58;
    duration latency_goal = std::chrono::milliseconds(250);
    duration deadline = std::chrono::milliseconds(1500);
    std::uint32_t retries = 2;
};

/// What became of the requests that began in one window.
struct window_counts
{
    std::uint64_t begun = 0;
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
};

/// A deployment that is played.
class fleet_model
{
public:
    explicit fleet_model(const model_options& options);

    /// Plays \p length from the start.
    void play(duration length);

    /// All instances are down from \p from for \p length; then each is back after up to
    /// 400 ms more.
    void power_off_all(duration from, duration length);

    /// The first data centre is cut off from the others from \p from for \p length.
    void cut_first(duration from, duration length);

    /// One target of each data centre stops answering for good at \p from.
    void crash_targets(duration from);

    /// Callers send \p factor times as much from \p from for \p length.
    void flood(duration from, duration length, double factor);

    /// Returns what became of the requests, by windows of two seconds.
    const std::vector<window_counts>& windows() const;

    /// Returns the requests that the busiest target ran, by the mean.
    double imbalance() const;

private:
    /// One request of a caller, over all of its attempts.
    struct request
    {
        std::uint32_t centre = 0;
        time_point begun;
        std::uint32_t attempts = 0;
        /// The flow of the present attempt; packets of earlier ones count no more.
        std::uint64_t flow = 0;
        bool is_open = false;
        bool is_over = false;
        flow_token token;
    };

    using request_at = std::shared_ptr<request>;

    struct instance
    {
        entry_instance state;
        opening_queue waiting;
        /// The requests whose openings wait, by flow.
        std::map<std::uint64_t, request_at> waiting_for;
        std::uint32_t centre = 0;
        bool is_up = true;
    };

    struct target
    {
        std::uint32_t centre = 0;
        bool is_dead = false;
        std::uint32_t busy = 0;
        std::uint64_t ran = 0;
        std::deque<std::pair<request_at, std::uint64_t>> queue;
    };

    void arrive_regularly(std::uint32_t centre);
    void start_attempt(const request_at& held);
    void send(const request_at& held, flow_packet packet);
    void receive(std::uint32_t number, const request_at& held, const flow_packet& packet);
    void place_waiting(std::uint32_t number);
    void pass_on(std::uint32_t number, std::uint32_t to, const request_at& held,
                 const flow_packet& packet);
    void open_at(std::uint32_t to, const request_at& held, std::uint64_t flow);
    void opened(std::uint32_t by, const request_at& held, std::uint64_t flow);
    void work_at(std::uint32_t to, const request_at& held, std::uint64_t flow);
    void start_work(std::uint32_t at);
    void answered(const request_at& held, std::uint64_t flow);
    void attempt_failed(const request_at& held, std::uint64_t flow);
    void start_instance(std::uint32_t number);
    void tick_regularly();
    void beat_regularly();
    std::uint32_t choose(const flow_packet& packet);
    window_counts& window_of(const request& held);

    model_options options_;
    event_queue events_;
    std::mt19937_64 random_;
    routing_table table_;
    std::vector<instance> instances_;
    std::vector<target> targets_;
    std::vector<window_counts> windows_;
    time_point ends_;
    time_point cut_until_;
    double factor_ = 1;
    std::uint64_t next_flow_ = 1;
};

} // namespace kumquatpath::bench

#endif
