#ifndef KUMQUATPATH_BENCH_FLEET_MODEL_HPP
#define KUMQUATPATH_BENCH_FLEET_MODEL_HPP

/// \file
/// A simulation of a deployment in virtual time. It has callers, a fabric that hashes
/// flows over the running instances of the caller's data centre, entry instances that
/// decide with the load balancer's own functions, and targets. A target processes a
/// limited number of requests at once, queues a limited number and rejects the rest.
///
/// Targets answer callers directly. Callers retransmit an unanswered opening after 200 ms
/// and 600 ms and give it up after 1.4 s. Links have a fixed delay. A partition drops the
/// packets that instances on one side send to targets on the other side.

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

/// How openings, the packets that open flows, are placed on targets.
enum class placement_policy
{
    /// By the load balancer's own decisions.
    steering,
    /// On a random target. A retransmission gets a new random target.
    random,
    /// On the target that the flow's hash selects, the same one for retransmissions.
    hashed,
};

/// The one-way delay between a caller and an instance or target.
inline constexpr duration caller_link_delay = std::chrono::milliseconds(3);

/// The size of the deployment, its load and the placement policy.
struct model_options
{
    placement_policy policy = placement_policy::steering;
    std::uint64_t seed = 1;
    std::uint32_t data_centres = 3;
    std::uint32_t instances_per_data_centre = 3;
    std::uint32_t targets_per_data_centre = 5;
    /// The number of requests that a target processes at once.
    std::uint32_t slots_per_target = 3;
    /// The maximum length of the queue of each target.
    std::uint32_t max_queued_requests = 12;
    /// The mean rate of new requests in each data centre.
    double requests_per_second = 130;
    double mean_service_time_ms = 58;
    duration latency_goal = std::chrono::milliseconds(250);
    /// Time after which a caller gives up an unanswered request.
    duration deadline = std::chrono::milliseconds(1500);
    /// The maximum number of attempts after the first one.
    std::uint32_t max_retries = 2;
};

/// The outcomes of the requests that started in one time window.
struct window_counts
{
    std::uint64_t started = 0;
    /// Answered within the latency goal.
    std::uint64_t in_time = 0;
    /// Answered after the latency goal but before the deadline.
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
};

/// A simulated deployment. Disturbances have to be scheduled before run(), which may be
/// called once; their times count from the start of the run. With one build, the same
/// options and calls always give the same results.
class fleet_model
{
public:
    explicit fleet_model(const model_options& options);

    /// Runs the simulation: requests arrive for \p length, and the run ends when the
    /// deadlines of all requests have passed.
    void run(duration length);

    /// Stops all instances at \p from. Each one starts again, without its former state,
    /// after \p length and a random extra delay of up to 400 ms.
    void schedule_power_outage(duration from, duration length);

    /// At \p from, separates the first data centre from the others for \p length.
    /// Heartbeats are not affected.
    void schedule_partition(duration from, duration length);

    /// Crashes one target of each data centre at \p from. The targets do not recover.
    void schedule_target_crash(duration from);

    /// At \p from, multiplies the rate of new requests by \p factor for \p length.
    void schedule_flood(duration from, duration length, double factor);

    /// Returns the outcomes of the requests, grouped by the two-second window in which
    /// each request started.
    const std::vector<window_counts>& windows() const;

    /// Returns the number of requests that the busiest target processed, divided by the
    /// mean over all targets; 0 if none was processed.
    double imbalance() const;

private:
    // Data centres, instances and targets are numbered from 0. Their ids and keys
    // are one greater, so that none is 0.

    /// A request of a caller, with the state of its current attempt.
    struct caller_request
    {
        std::uint32_t data_centre = 0;
        time_point started_at;
        std::uint32_t attempts = 0;
        /// The flow of the current attempt. Events of earlier attempts are ignored.
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
        /// The requests whose openings are in the queue, by flow.
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
        /// The requests that wait for a slot, each with the flow of its attempt.
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
