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
inline constexpr duration caller_link_delay = std::chrono::milliseconds(3);

/// What is modelled.
struct model_options
{
    placement_policy policy = placement_policy::steering;
    std::uint64_t seed = 1;
    std::uint32_t data_centres = 3;
    std::uint32_t instances_per_data_centre = 3;
    std::uint32_t targets_per_data_centre = 5;
    std::uint32_t slots_per_target = 3;
    std::uint32_t max_queued_requests = 12;
    /// Requests a second in each data centre.
    double requests_per_second = 130;
    double mean_service_time_ms = 58;
    duration latency_goal = std::chrono::milliseconds(250);
    duration deadline = std::chrono::milliseconds(1500);
    std::uint32_t max_retries = 2;
};

/// What became of the requests that began in one window.
struct window_counts
{
    std::uint64_t started = 0;
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
    void run(duration length);

    /// All instances are down from \p from for \p length; then each is back after up to
    /// 400 ms more.
    void schedule_power_outage(duration from, duration length);

    /// The first data centre is cut off from the others from \p from for \p length.
    void schedule_partition(duration from, duration length);

    /// One target of each data centre stops answering for good at \p from.
    void schedule_target_crash(duration from);

    /// Callers send \p factor times as much from \p from for \p length.
    void schedule_flood(duration from, duration length, double factor);

    /// Returns what became of the requests, by windows of two seconds.
    const std::vector<window_counts>& windows() const;

    /// Returns the requests that the busiest target ran, by the mean.
    double imbalance() const;

private:
    /// One request of a caller, over all of its attempts.
    struct caller_request
    {
        std::uint32_t data_centre = 0;
        time_point started_at;
        std::uint32_t attempts = 0;
        /// The flow of the present attempt; packets of earlier ones count no more.
        std::uint64_t flow = 0;
        bool is_flow_open = false;
        bool is_finished = false;
        flow_token token;
    };

    using request_ptr = std::shared_ptr<caller_request>;

    struct instance
    {
        entry_instance state;
        opening_queue queue;
        /// The requests whose openings wait, by flow.
        std::map<std::uint64_t, request_ptr> queued_requests;
        std::uint32_t data_centre = 0;
        bool is_running = true;
    };

    struct target
    {
        std::uint32_t data_centre = 0;
        bool is_crashed = false;
        std::uint32_t busy_slots = 0;
        std::uint64_t requests_run = 0;
        std::deque<std::pair<request_ptr, std::uint64_t>> queue;
    };

    void schedule_next_request(std::uint32_t data_centre);
    void start_attempt(const request_ptr& request);
    void send_to_instance(const request_ptr& request, flow_packet packet);
    void receive_at_instance(std::uint32_t instance_number, const request_ptr& request,
                             const flow_packet& packet);
    void place_queued_openings(std::uint32_t instance_number);
    void forward(std::uint32_t instance_number, std::uint32_t target_number,
                 const request_ptr& request, const flow_packet& packet);
    void receive_opening_at_target(std::uint32_t target_number,
                                   const request_ptr& request, std::uint64_t flow);
    void handle_opening_answer(std::uint32_t target_number, const request_ptr& request,
                               std::uint64_t flow);
    void receive_request_at_target(std::uint32_t target_number,
                                   const request_ptr& request, std::uint64_t flow);
    void start_queued_requests(std::uint32_t target_number);
    void handle_answer(const request_ptr& request, std::uint64_t flow);
    void handle_failed_attempt(const request_ptr& request, std::uint64_t flow);
    void start_instance(std::uint32_t instance_number);
    void tick_instances();
    void exchange_heartbeats();
    std::uint32_t choose_baseline_target(const flow_packet& packet);
    window_counts& window_of(const caller_request& request);

    model_options options_;
    event_queue events_;
    std::mt19937_64 random_;
    routing_table table_;
    std::vector<instance> instances_;
    std::vector<target> targets_;
    std::vector<window_counts> windows_;
    time_point arrivals_end_at_;
    time_point partitioned_until_;
    double load_factor_ = 1;
    std::uint64_t next_flow_ = 1;
};

} // namespace kumquatpath::bench

#endif
