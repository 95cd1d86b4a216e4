#include <kumquatpath/decision/flow_limits.hpp>

#include <algorithm>
#include <array>

namespace kumquatpath
{
namespace
{

/// The capacity of a bucket, in seconds of its rate. It is at least one token.
constexpr double burst_seconds = 0.5;

enum class limit_kind : std::uint8_t
{
    route,
    tenant,
    traffic_class,
};

/// A limit that a flow is checked against.
struct applicable_limit
{
    std::uint64_t key = 0;
    /// This instance's share in flows per second; 0: unlimited.
    double rate = 0;
};

std::uint64_t key_of(limit_kind kind, std::uint64_t id)
{
    return hash_pair(static_cast<std::uint64_t>(kind), id);
}

/// Returns the limit of \p id in flows per second, or 0 if it has none.
template <class Limits, class Id>
double limit_of(const Limits& limits, Id id)
{
    const auto found = limits.find(id.value);
    return found == limits.end() ? 0 : found->second;
}

/// Returns the bucket of \p limit after refilling it for the time up to \p now.
token_bucket& refilled_bucket(flow_limits& limits, const applicable_limit& limit,
                              time_point now)
{
    const double capacity = std::max(1.0, limit.rate * burst_seconds);
    const auto [found, is_new] = limits.buckets.try_emplace(
        limit.key, token_bucket{.tokens = capacity, .refilled_at = now});
    token_bucket& bucket = found->second;
    const double elapsed =
        std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(capacity, bucket.tokens + elapsed * limit.rate);
    bucket.refilled_at = now;
    return bucket;
}

} // namespace

bool has_limit(const routing_table& table, const flow_packet& packet)
{
    const route* const matched_route = find_route(table, packet.listener);
    return !table.tenant_limits.empty() || !table.class_limits.empty() ||
           (matched_route != nullptr && matched_route->flows_per_second > 0);
}

bool admit_flow(flow_limits& limits, const routing_table& table,
                const flow_packet& packet, std::size_t instances, time_point now)
{
    const route* const matched_route = find_route(table, packet.listener);
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, instances));
    const std::array applicable_limits = {
        applicable_limit{
            key_of(limit_kind::route, pack(packet.listener)),
            matched_route == nullptr ? 0 : share * matched_route->flows_per_second},
        applicable_limit{key_of(limit_kind::tenant, packet.tenant.value),
                         share * limit_of(table.tenant_limits, packet.tenant)},
        applicable_limit{key_of(limit_kind::traffic_class, packet.traffic_class.value),
                         share * limit_of(table.class_limits, packet.traffic_class)}};
    const auto is_within_limit = [&](const applicable_limit& each)
    {
        return each.rate <= 0 || refilled_bucket(limits, each, now).tokens >= 1;
    };
    if (!std::ranges::all_of(applicable_limits, is_within_limit))
    {
        return false;
    }
    for (const applicable_limit& each : applicable_limits)
    {
        if (each.rate > 0)
        {
            limits.buckets[each.key].tokens -= 1;
        }
    }
    return true;
}

} // namespace kumquatpath
