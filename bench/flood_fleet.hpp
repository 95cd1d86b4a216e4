#ifndef KUMQUATPATH_BENCH_FLOOD_FLEET_HPP
#define KUMQUATPATH_BENCH_FLOOD_FLEET_HPP

/// \file
/// The small fleet of the flood bench: sprayed arrivals, instances that decide by the
/// real admission functions, delayed and lost heartbeats, and targets in virtual time.

#include "event_queue.hpp"
#include "flood_site.hpp"
#include "target_model.hpp"

#include <kumquatpath/decision/admission.hpp>
#include <kumquatpath/decision/placement.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kumquatpath::bench
{

inline constexpr duration target_delay = std::chrono::microseconds(500);
inline constexpr duration heartbeat_every = std::chrono::milliseconds(250);
inline constexpr std::size_t heartbeat_fan_out = 3;
inline constexpr double heartbeat_loss = 0.05;
/// The longest delay of a heartbeat, in seconds.
inline constexpr double longest_heartbeat_delay = 0.5;

/// How the instances decide on new requests.
enum class flood_variant
{
    /// Every request is admitted.
    none,
    /// Each instance admits an even share of a configured rate for each service.
    static_rate,
    /// The admission functions of kumquatpath.
    adaptive,
};

/// The options of one run.
struct fleet_options
{
    flood_variant variant = flood_variant::adaptive;
    std::uint64_t seed = 1;
    std::size_t instances = 8;
    /// Instances that are there from the start; the others join when told.
    std::size_t present = 8;
};

/// What became of one request, as its caller sees it.
struct request_record
{
    std::size_t kind = 0;
    std::size_t tenant = 0;
    target_id target;
    time_point sent;
    bool is_admitted = false;
    /// Empty when it was refused or not answered within its deadline.
    std::optional<duration> latency;
    duration work{0};
};

/// A fleet that runs one site.
class flood_fleet
{
public:
    flood_fleet(const site& shape, const fleet_options& options);

    /// Runs until \p end.
    void run_until(time_point end);

    /// Sets how many times the fleet's capacity arrives of \p kind beyond its usual rate,
    /// from tenant \p tenant only, or from all of them evenly.
    void flood(std::size_t kind, double capacities,
               std::optional<std::size_t> tenant = std::nullopt);

    /// Cuts instance \p index off from its peers.
    void cut(std::size_t index);

    /// Lets the next instance join.
    void join();

    /// Returns target \p index of pool \p pool.
    target_model& target_at(std::size_t pool, std::size_t index)
    {
        return *targets_[pool][index];
    }

    /// Returns every request that was sent so far, in the order of sending.
    const std::deque<request_record>& records() const
    {
        return records_;
    }

private:
    struct instance
    {
        admission state;
        member_view view;
        std::vector<token_bucket> static_buckets;
        bool is_cut = false;
    };

    struct arrival_stream
    {
        std::size_t kind = 0;
        double rate = 0;
        std::optional<std::size_t> tenant;
        std::uint64_t epoch = 0;
    };

    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    target_model* find_target(std::size_t pool, target_id target);
    void next_arrival(std::size_t stream, std::uint64_t epoch);
    void arrive(const arrival_stream& stream);
    bool is_admitted(instance& at, const packet_header& header, target_id target,
                     std::size_t pool, admitted_work& work);
    void forward(std::size_t at, std::size_t record, const admitted_work& work,
                 std::size_t pool);
    void update_views();
    void beat(std::size_t from);

    site shape_;
    fleet_options options_;
    event_queue events_;
    std::mt19937_64 random_;
    std::vector<std::vector<std::unique_ptr<target_model>>> targets_;
    std::vector<std::vector<target_id>> placed_;
    std::vector<instance> instances_;
    std::vector<arrival_stream> streams_;
    std::deque<request_record> records_;
    std::size_t present_;
};

inline flood_fleet::flood_fleet(const site& shape, const fleet_options& options)
    : shape_(shape), options_(options), random_(options.seed), present_(options.present)
{
    const configuration whole = configuration_of(shape);
    for (const target_pool& pool : whole.pools)
    {
        auto& models = targets_.emplace_back();
        for (std::size_t i = 0; i < pool.targets.size(); ++i)
        {
            models.push_back(std::make_unique<target_model>(events_, target_options{}));
        }
        const auto active = active_targets(whole, pool);
        placed_.push_back(place_slots(active, slot_count_for(active.size())));
    }
    instances_.resize(options.instances);
    for (std::size_t i = 0; i < instances_.size(); ++i)
    {
        configure(instances_[i].state, whole);
        instances_[i].static_buckets.resize(shape.pools.size());
        events_.after(duration(heartbeat_every) * i / instances_.size(),
                      [this, i] { beat(i); });
    }
    update_views();
    for (std::size_t kind = 0; kind < shape.kinds.size(); ++kind)
    {
        const work_kind& each = shape.kinds[kind];
        streams_.push_back(
            {.kind = kind, .rate = capacity_rate(shape, each) * each.usual_part});
        next_arrival(kind, 0);
    }
    // One more stream for each kind carries its flood.
    for (std::size_t kind = 0; kind < shape.kinds.size(); ++kind)
    {
        streams_.push_back({.kind = kind});
    }
}

inline void flood_fleet::run_until(time_point end)
{
    events_.run_until(end);
}

inline void flood_fleet::flood(std::size_t kind, double capacities,
                               std::optional<std::size_t> tenant)
{
    arrival_stream& stream = streams_[shape_.kinds.size() + kind];
    stream.rate = capacities * capacity_rate(shape_, shape_.kinds[kind]);
    stream.tenant = tenant;
    ++stream.epoch;
    if (stream.rate > 0)
    {
        next_arrival(shape_.kinds.size() + kind, stream.epoch);
    }
}

inline void flood_fleet::cut(std::size_t index)
{
    instances_[index].is_cut = true;
    update_views();
}

inline void flood_fleet::join()
{
    ++present_;
    update_views();
}

inline void flood_fleet::next_arrival(std::size_t stream, std::uint64_t epoch)
{
    const double gap =
        std::exponential_distribution<double>(streams_[stream].rate)(random_);
    events_.after(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)),
        [this, stream, epoch]
        {
            if (streams_[stream].epoch == epoch)
            {
                arrive(streams_[stream]);
                next_arrival(stream, epoch);
            }
        });
}

inline void flood_fleet::arrive(const arrival_stream& stream)
{
    const work_kind& kind = shape_.kinds[stream.kind];
    const std::vector<target_id>& placed = placed_[kind.service];
    const flow_id flow{random_()};
    const auto count = static_cast<std::uint32_t>(placed.size());
    const std::size_t tenant = stream.tenant.value_or(random_() % tenant_count);
    // Work varies like the sum of four exponential steps.
    std::gamma_distribution<double> steps(4, in_seconds(kind.work) / 4);
    const request_record record{.kind = stream.kind,
                                .tenant = tenant,
                                .target = placed[slot_of(flow, count).value],
                                .sent = events_.now(),
                                .work = std::chrono::duration_cast<duration>(
                                    std::chrono::duration<double>(steps(random_)))};
    records_.push_back(record);
    const std::size_t at = random_() % present_;
    const packet_header header{.service = {kind.service + 1},
                               .tenant = {static_cast<std::uint16_t>(tenant)},
                               .traffic_class = {static_cast<std::uint16_t>(stream.kind)},
                               .flow = flow};
    admitted_work work;
    if (is_admitted(instances_[at], header, record.target, kind.service, work))
    {
        records_.back().is_admitted = true;
        forward(at, records_.size() - 1, work, kind.service);
    }
}

inline bool flood_fleet::is_admitted(instance& at, const packet_header& header,
                                     target_id target, std::size_t pool,
                                     admitted_work& work)
{
    if (options_.variant == flood_variant::none)
    {
        return true;
    }
    if (options_.variant == flood_variant::adaptive)
    {
        const admission_result result = admit(at.state, header, target, events_.now());
        work = result.work;
        return result.admitted;
    }
    const bucket_rate rate{.per_second =
                               static_rate(shape_, pool) / static_cast<double>(present_),
                           .depth = 20};
    refill(at.static_buckets[pool], rate, events_.now());
    const bool admitted = has_token(at.static_buckets[pool]);
    at.static_buckets[pool].tokens -= admitted ? 1 : 0;
    return admitted;
}

inline void flood_fleet::forward(std::size_t at, std::size_t record,
                                 const admitted_work& work, std::size_t pool)
{
    const work_kind& kind = shape_.kinds[records_[record].kind];
    const time_point admitted = events_.now();
    auto finish = [this, at, record, work, admitted, open = true](request_end end) mutable
    {
        if (!open)
        {
            return;
        }
        open = false;
        const duration latency = events_.now() - admitted;
        if (options_.variant == flood_variant::adaptive)
        {
            note_finished(instances_[at].state, work, end, latency, events_.now());
        }
        if (end == request_end::answered)
        {
            records_[record].latency = latency + 2 * shape_.caller_delay;
        }
    };
    const auto shared = std::make_shared<decltype(finish)>(std::move(finish));
    events_.after(kind.deadline, [shared] { (*shared)(request_end::timed_out); });
    const auto ended = [this, shared](job_end end)
    {
        events_.after(target_delay,
                      [shared, end]
                      {
                          (*shared)(end == job_end::done
                                        ? request_end::answered
                                        : request_end::refused_by_target);
                      });
    };
    events_.after(target_delay,
                  [this, record, pool, ended, deadline = admitted + kind.deadline]
                  {
                      const request_record& sent = records_[record];
                      target_model& target = *find_target(pool, sent.target);
                      target.submit(
                          {.work = sent.work, .deadline = deadline, .ended = ended});
                  });
}

inline target_model* flood_fleet::find_target(std::size_t pool, target_id target)
{
    std::size_t first = 1;
    for (std::size_t i = 0; i < pool; ++i)
    {
        first += targets_[i].size();
    }
    return targets_[pool][target.value - first].get();
}

inline void flood_fleet::update_views()
{
    for (std::size_t self = 0; self < present_; ++self)
    {
        instance& each = instances_[self];
        each.view = {.self = {static_cast<std::uint32_t>(self + 1)}};
        for (std::size_t other = 0; other < present_; ++other)
        {
            const bool sees =
                self == other || (!each.is_cut && !instances_[other].is_cut);
            each.view.members.push_back(
                {.instance = {static_cast<std::uint32_t>(other + 1)},
                 .state = sees ? member_state::alive : member_state::dead});
        }
        note_members(each.state, each.view, events_.now());
    }
}

inline void flood_fleet::beat(std::size_t from)
{
    events_.after(heartbeat_every, [this, from] { beat(from); });
    if (from >= present_ || instances_[from].is_cut)
    {
        return;
    }
    const auto told = usages(instances_[from].state, events_.now());
    for (std::size_t copy = 0; copy < heartbeat_fan_out; ++copy)
    {
        const std::size_t to = random_() % present_;
        const bool is_lost = unit() < heartbeat_loss;
        if (to == from || is_lost || instances_[to].is_cut)
        {
            continue;
        }
        const auto late = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(unit() * longest_heartbeat_delay));
        events_.after(late, [this, to, told]
                      { note_peer_usages(instances_[to].state, told, events_.now()); });
    }
}

} // namespace kumquatpath::bench

#endif
