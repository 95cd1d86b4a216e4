#ifndef KUMQUATPATH_TEST_DECISION_REMOTE_PLACEMENT_FIXTURE_HPP
#define KUMQUATPATH_TEST_DECISION_REMOTE_PLACEMENT_FIXTURE_HPP

/// \file
/// Load on three data centres, each with 24 instances that decide by the times of their
/// own flows and with slots that serve in order of arrival.

#include <kumquatpath/decision/remote_placement.hpp>
#include <kumquatpath/decision/target_directory.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace kumquatpath::test
{

inline constexpr std::size_t data_centre_count = 3;
inline constexpr std::size_t instances_per_data_centre = 24;
inline constexpr std::size_t slots_per_data_centre = 80;
inline const service_id loaded_service = id_of<service_id>("loaded");

inline data_centre_id id_of_data_centre(std::size_t index)
{
    return {static_cast<std::uint32_t>(index + 1)};
}

/// The load of each data centre's callers as a share of its slots' capacity, by time.
using offered_load = std::function<double(std::size_t data_centre, duration elapsed)>;

/// What became of the flows of one data centre's callers in some time.
struct placed_flows
{
    std::size_t local = 0;
    std::size_t remote = 0;
    /// Flows whose request took longer than the latency goal.
    std::size_t late = 0;

    double remote_share() const
    {
        return static_cast<double>(remote) /
               static_cast<double>(std::max<std::size_t>(1, local + remote));
    }

    double late_share() const
    {
        return static_cast<double>(late) /
               static_cast<double>(std::max<std::size_t>(1, local + remote));
    }
};

class loaded_fleet
{
public:
    double work_ms = 50;
    /// One way, between data centres.
    duration distance = std::chrono::milliseconds(1);
    duration latency_goal = std::chrono::milliseconds(500);
    /// How much later than the answers the measurements arrive.
    duration measurement_delay{0};

    loaded_fleet()
    {
        for (auto& each : slots_)
        {
            each = slot_queue(std::greater<>(),
                              std::vector<time_point>(slots_per_data_centre, now_));
        }
    }

    /// Places the flows of \p length, and returns them by their callers' data centre.
    std::array<placed_flows, data_centre_count> run(duration length,
                                                    const offered_load& load)
    {
        std::array<placed_flows, data_centre_count> result;
        for (duration elapsed{0}; elapsed < length; elapsed += step)
        {
            now_ += step;
            record_answers();
            for (std::size_t i = 0; i < data_centre_count; ++i)
            {
                const double rate = load(i, elapsed) * slots_per_data_centre / work_ms;
                std::poisson_distribution<int> arrivals(rate * milliseconds_of(step));
                for (int left = arrivals(random_); left > 0; --left)
                {
                    place(i, result[i]);
                }
            }
        }
        return result;
    }

private:
    using slot_queue =
        std::priority_queue<time_point, std::vector<time_point>, std::greater<>>;
    static constexpr duration step = std::chrono::milliseconds(1);
    static constexpr duration caller_round_trip = std::chrono::milliseconds(2);

    struct answer
    {
        remote_placement* instance = nullptr;
        answered_request request;
    };

    void record_answers()
    {
        while (!answers_.empty() && answers_.begin()->first <= now_)
        {
            const answer& first = answers_.begin()->second;
            record_answered_request(*first.instance, first.request, now_);
            change_in_flight(*first.instance, loaded_service, first.request.data_centre,
                             -1);
            answers_.erase(answers_.begin());
        }
    }

    bool draw(double probability)
    {
        return std::bernoulli_distribution(probability)(random_);
    }

    void place(std::size_t local, placed_flows& placed)
    {
        remote_placement& instance =
            instances_[local][random_() % instances_per_data_centre];
        const std::size_t remote = (local + (draw(0.5) ? 1 : 2)) % data_centre_count;
        const data_centre_id remote_id = id_of_data_centre(remote);
        const flow_to_place flow{.service = loaded_service,
                                 .local = id_of_data_centre(local),
                                 .remote = remote_id,
                                 .bearable_in_flight =
                                     static_cast<double>(slots_per_data_centre) /
                                     instances_per_data_centre,
                                 .random = random_()};
        update_placement(instance, flow, now_);
        const bool is_remote = is_remote_better(instance, flow);
        (is_remote ? placed.remote : placed.local) += 1;
        placed.late +=
            serve(instance, is_remote ? remote : local, is_remote) > latency_goal ? 1 : 0;
    }

    /// Returns the time of the request.
    duration serve(remote_placement& instance, std::size_t data_centre, bool is_remote)
    {
        const duration round_trip =
            caller_round_trip + (is_remote ? 2 * distance : duration(0));
        const double spread = 0.5;
        std::lognormal_distribution<double> work(std::log(work_ms) - spread * spread / 2,
                                                 spread);
        slot_queue& slots = slots_[data_centre];
        const time_point start = std::max(now_ + round_trip, slots.top());
        const time_point end = start + from_milliseconds(work(random_));
        slots.pop();
        slots.push(end);
        record_opening_time(instance, id_of_data_centre(data_centre), round_trip);
        change_in_flight(instance, loaded_service, id_of_data_centre(data_centre), 1);
        const answered_request request{.service = loaded_service,
                                       .data_centre = id_of_data_centre(data_centre),
                                       .time = end - now_,
                                       .latency_goal = latency_goal};
        answers_.emplace(end + measurement_delay,
                         answer{.instance = &instance, .request = request});
        return request.time;
    }

    time_point now_{std::chrono::seconds(100)};
    std::mt19937_64 random_{7};
    std::array<std::array<remote_placement, instances_per_data_centre>, data_centre_count>
        instances_;
    /// When each slot has served all flows that were placed there.
    std::array<slot_queue, data_centre_count> slots_;
    std::multimap<time_point, answer> answers_;
};

} // namespace kumquatpath::test

#endif
