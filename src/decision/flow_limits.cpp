#include <kumquatpath/decision/flow_limits.hpp>

#include <algorithm>
#include <array>

namespace kumquatpath
{
namespace
{

/// A bucket holds this much of a second's share, and always one flow.
constexpr double burst_seconds = 0.5;

enum class limited : std::uint8_t
{
    route,
    tenant,
    traffic_class,
};

struct met_limit
{
    std::uint64_t key = 0;
    double rate = 0;
};

std::uint64_t key_of(limited kind, std::uint64_t id)
{
    return mix(static_cast<std::uint64_t>(kind), id);
}

template <class Limits, class Id>
double limit_of(const Limits& limits, Id id)
{
    const auto found = limits.find(id.value);
    return found == limits.end() ? 0 : found->second;
}

/// Returns the bucket of \p limit, filled up to \p now.
limit_bucket& filled(flow_limits& limits, const met_limit& limit, time_point now)
{
    const double most = std::max(1.0, limit.rate * burst_seconds);
    const auto [found, is_new] = limits.buckets.try_emplace(
        limit.key, limit_bucket{.tokens = most, .filled_at = now});
    limit_bucket& bucket = found->second;
    const double passed = std::chrono::duration<double>(now - bucket.filled_at).count();
    bucket.tokens = std::min(most, bucket.tokens + passed * limit.rate);
    bucket.filled_at = now;
    return bucket;
}

} // namespace

bool has_limit(const routing_table& table, const flow_packet& packet)
{
    const route* const chosen = find_route(table, packet.listener);
    return !table.tenant_limits.empty() || !table.class_limits.empty() ||
           (chosen != nullptr && chosen->flows_per_second > 0);
}

bool admit_flow(flow_limits& limits, const routing_table& table,
                const flow_packet& packet, std::size_t instances, time_point now)
{
    const route* const chosen = find_route(table, packet.listener);
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, instances));
    const std::array met = {
        met_limit{key_of(limited::route, pack(packet.listener)),
                  chosen == nullptr ? 0 : share * chosen->flows_per_second},
        met_limit{key_of(limited::tenant, packet.tenant.value),
                  share * limit_of(table.tenant_limits, packet.tenant)},
        met_limit{key_of(limited::traffic_class, packet.traffic_class.value),
                  share * limit_of(table.class_limits, packet.traffic_class)}};
    const auto is_met = [&](const met_limit& each)
    {
        return each.rate <= 0 || filled(limits, each, now).tokens >= 1;
    };
    if (!std::ranges::all_of(met, is_met))
    {
        return false;
    }
    for (const met_limit& each : met)
    {
        if (each.rate > 0)
        {
            limits.buckets[each.key].tokens -= 1;
        }
    }
    return true;
}

} // namespace kumquatpath
