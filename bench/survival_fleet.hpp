#ifndef KUMQUATPATH_BENCH_SURVIVAL_FLEET_HPP
#define KUMQUATPATH_BENCH_SURVIVAL_FLEET_HPP

/// \file
/// Instances that route flows in virtual time, by the real decisions or by a baseline.

#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/decision/placement.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace kumquatpath::bench
{

/// The ways of finding a flow's target that are compared.
enum class routing
{
    /// Hash modulo the count of targets.
    modulo,
    /// Consistent hash without state.
    consistent,
    /// Consistent hash, and each instance remembers the flows that it has seen.
    local_table,
    /// The flow router: slots with a history, and keepers.
    slots_keepers,
};

/// One simulated instance.
struct simulated_instance
{
    instance_id id;
    data_centre_id data_centre;
    bool is_running = true;
    bool is_frozen = false;
    /// Whether the fabric hands packets to it.
    bool takes_packets = true;
    /// How far its wall clock is off.
    wall_time::duration clock_skew{};
    flow_router router;
    /// What arrived while it was frozen, in its sockets' queues.
    std::vector<std::function<void()>> inbox;
    /// What a baseline knows: the newest configuration's targets, and flows seen.
    kumquatpath::generation newest;
    std::vector<target_id> active;
    std::vector<target_id> slots;
    std::unordered_map<flow_id, target_id> seen;
};

/// Takes in the targets of a configuration for a baseline.
inline void adopt_baseline(simulated_instance& instance, const configuration& whole)
{
    if (whole.generation < instance.newest)
    {
        return;
    }
    instance.newest = whole.generation;
    instance.active = active_targets(whole, whole.pools[0]);
    instance.slots = place_slots(instance.active, slot_count_for(instance.active.size()));
}

/// Returns the target of \p flow by a baseline.
inline target_id route_baseline(simulated_instance& instance, routing kind, flow_id flow)
{
    if (kind == routing::modulo)
    {
        return instance.active[mix(flow.value, 0) % instance.active.size()];
    }
    const auto slot =
        slot_of(flow, static_cast<std::uint32_t>(instance.slots.size())).value;
    if (kind == routing::consistent)
    {
        return instance.slots[slot];
    }
    return instance.seen.try_emplace(flow, instance.slots[slot]).first->second;
}

/// Counts the bytes of control messages, in total and in the busiest span.
class control_meter
{
public:
    /// Notes that an instance sent \p message at \p now.
    void add(instance_id sender, const peer_message& message, time_point now)
    {
        const std::uint64_t bytes = encoded_size(message);
        total_ += bytes;
        bytes_[{sender.value, now.time_since_epoch() / span}] += bytes;
    }

    /// Returns the bytes sent by all instances.
    std::uint64_t total() const
    {
        return total_;
    }

    /// Returns the most bytes a second that one instance sent over a span of 10 s.
    double peak_rate() const
    {
        std::uint64_t most = 0;
        for (const auto& [key, bytes] : bytes_)
        {
            most = std::max(most, bytes);
        }
        return static_cast<double>(most) / std::chrono::duration<double>(span).count();
    }

private:
    static constexpr std::chrono::seconds span{10};

    struct key_hash
    {
        std::size_t operator()(const std::pair<std::uint32_t, std::int64_t>& key) const
        {
            return mix(key.first, static_cast<std::uint64_t>(key.second));
        }
    };

    static std::uint64_t encoded_size(const peer_message& message)
    {
        constexpr std::uint64_t message_bytes = 40;
        constexpr std::uint64_t entry_bytes = 12;
        if (const auto* listing = std::get_if<flow_listing>(&message))
        {
            return message_bytes + entry_bytes * listing->entries.size();
        }
        return std::holds_alternative<flow_hint>(message) ? message_bytes + entry_bytes
                                                          : message_bytes;
    }

    std::uint64_t total_ = 0;
    std::unordered_map<std::pair<std::uint32_t, std::int64_t>, std::uint64_t, key_hash>
        bytes_;
};

} // namespace kumquatpath::bench

#endif
