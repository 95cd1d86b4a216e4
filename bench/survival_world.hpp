#ifndef KUMQUATPATH_BENCH_SURVIVAL_WORLD_HPP
#define KUMQUATPATH_BENCH_SURVIVAL_WORLD_HPP

/// \file
/// Callers, a fabric that sprays their packets, instances and targets, in virtual time.
///
/// Packets and hints may be lost, doubled and delayed; listings and requests between
/// instances come in order. Members and configurations reach the instances unevenly.

#include "event_queue.hpp"
#include "survival_fleet.hpp"

#include <memory>
#include <random>

namespace kumquatpath::bench
{

/// Options of a simulated world.
struct world_options
{
    std::uint64_t seed = 1;
    routing kind = routing::slots_keepers;
    flow_mechanisms mechanisms;
    std::uint32_t instances = 8;
    std::uint32_t targets = 14;
    double flows_per_second = 400;
    double loss = 0.002;
    double duplication = 0.002;
};

/// What became of the flows of a run.
struct world_outcome
{
    std::uint64_t flows = 0;
    /// Established flows of which a packet came to another target, or which were refused
    /// or given up.
    std::uint64_t broken = 0;
    /// Those of the broken ones that their callers saw fail.
    std::uint64_t failed = 0;
    /// Flows that a target got first more than 3 s after it began to leave.
    std::uint64_t late_opens = 0;
    /// Flows that were refused or given up before any answer.
    std::uint64_t unopened = 0;
    std::uint64_t packets = 0;
    std::uint64_t passed_on = 0;
};

/// The simulated world. Every change takes effect at the present virtual time.
class world
{
public:
    static constexpr std::chrono::seconds flow_lifetime{60};
    static constexpr std::uint32_t data_centre_count = 3;

    explicit world(const world_options& options);

    event_queue& events()
    {
        return events_;
    }

    const world_outcome& outcome() const
    {
        return outcome_;
    }

    const control_meter& control() const
    {
        return control_;
    }

    std::size_t instance_count() const
    {
        return instances_.size();
    }

    /// Returns the mean count of instances that ran, for rates per instance.
    double fleet_size() const
    {
        return options_.instances;
    }

    /// Submits a configuration in which \p drained targets take no new flows.
    void drain(const std::vector<target_id>& drained);
    /// Submits a configuration with \p count more targets.
    void add_targets(std::uint32_t count);
    /// Submits a configuration that withdraws the targets of \p withdrawn.
    void drain_data_centre(data_centre_id withdrawn);
    /// Lets an instance leave gracefully.
    void leave(std::size_t index);
    /// Starts one more instance.
    void join();
    void die(std::size_t index);
    void freeze(std::size_t index, duration span);
    /// Cuts a data centre off from the others; 0 ends the cut.
    void cut(data_centre_id off);

    data_centre_id data_centre_of(std::size_t index) const
    {
        return instances_[index]->data_centre;
    }

private:
    enum class phase : std::uint8_t
    {
        opening,
        established,
        over,
    };

    struct simulated_flow
    {
        target_id own;
        phase state = phase::opening;
        bool is_broken = false;
        bool is_waiting = true;
        std::uint8_t tries = 0;
        std::uint16_t request = 0;
        std::uint16_t last_request = 0;
        duration pause{};
        /// The targets that know the flow, one bit each.
        std::uint64_t known_by = 0;
    };

    struct simulated_target
    {
        data_centre_id data_centre;
        time_point leaving_since = time_point::max();
    };

    using seat = std::size_t;

    double random()
    {
        return std::uniform_real_distribution<>(0, 1)(random_);
    }

    duration between(duration least, duration most)
    {
        return least + duration(static_cast<std::int64_t>(
                           random() * static_cast<double>((most - least).count())));
    }

    /// Mostly a fraction of a millisecond, and sometimes much longer.
    duration network_delay()
    {
        using std::chrono::microseconds;
        return random() < 0.01 ? between(microseconds(1000), microseconds(20000))
                               : between(microseconds(200), microseconds(1000));
    }

    bool is_cut(data_centre_id left, data_centre_id right) const
    {
        return left != right && (left == cut_off_ || right == cut_off_);
    }

    wall_time wall_of(const simulated_instance& instance) const
    {
        return wall_time(std::chrono::hours(1000)) + instance.clock_skew +
               std::chrono::duration_cast<wall_time::duration>(
                   events_.now().time_since_epoch());
    }

    void grow_pool(std::uint32_t count);
    void submit(const std::vector<target_id>& before);
    void adopt(seat index, const std::shared_ptr<const placement_plan>& plan,
               const configuration& whole);
    void start_instance(seat index);
    void tell(const member& changed, duration least, duration most);
    void apply(seat index, const member& changed);
    void tick_instance(seat index);
    void beat(seat index);
    void at_instance(seat index, const std::function<void()>& what);
    void wake(seat index);
    void start_flow();
    void transmit(std::size_t flow);
    packet_header header_of(std::size_t flow, packet_kind kind) const;
    void hand_in(const packet_header& header);
    void route(seat index, const packet_header& header, instance_id from);
    void carry_out(seat index);
    void carry_out_later(seat index);
    void pass_packet(seat from, seat to, const packet_header& header);
    void send_peer(seat index, const send_to_peer& sent);
    void receive(seat index, instance_id from, const peer_message& message);
    void reach_target(seat index, target_id at, const packet_header& header);
    void come_back(seat index, target_id at, packet_header header);
    void answer_caller(std::size_t flow, target_id at, std::uint16_t request);
    void break_flow(std::size_t flow, bool has_failed);
    seat seat_of(instance_id id) const
    {
        return id.value - 1;
    }

    world_options options_;
    std::mt19937_64 random_;
    event_queue events_;
    configuration configuration_;
    std::vector<std::shared_ptr<const placement_plan>> plans_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<member> members_;
    std::vector<simulated_target> targets_;
    std::vector<simulated_flow> flows_;
    action_list actions_;
    data_centre_id cut_off_{};
    world_outcome outcome_;
    control_meter control_;
};

} // namespace kumquatpath::bench

#endif
