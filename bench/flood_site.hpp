#ifndef KUMQUATPATH_BENCH_FLOOD_SITE_HPP
#define KUMQUATPATH_BENCH_FLOOD_SITE_HPP

/// \file
/// The work and the targets of the flood bench, after the sizes of today.

#include <kumquatpath/decision/admission_bucket.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <string>
#include <vector>

namespace kumquatpath::bench
{

using namespace std::chrono_literals;

inline constexpr std::size_t servers_per_target = 3;
inline constexpr std::uint16_t tenant_count = 3;

/// One kind of work.
struct work_kind
{
    std::string name;
    std::uint32_t service = 0;
    std::uint8_t priority = 0;
    /// The mean time a server needs.
    duration work{0};
    std::chrono::milliseconds deadline{1000};
    /// The part of its pool's capacity that the kind usually takes.
    double usual_part = 0;
};

/// One pool of targets and its service.
struct pool_shape
{
    std::string name;
    std::size_t targets = 0;
    /// Over the whole fleet; 0 means no limit.
    std::uint32_t requests_per_second = 0;
};

/// The work and the targets of one customer.
struct site
{
    std::string name;
    std::vector<pool_shape> pools;
    std::vector<work_kind> kinds;
    duration caller_delay{0};
};

/// Returns the requests a second that the targets could do if \p kind were all their
/// work.
inline double capacity_rate(const site& shape, const work_kind& kind)
{
    const auto servers =
        static_cast<double>(shape.pools[kind.service].targets * servers_per_target);
    return servers / in_seconds(kind.work);
}

/// Returns the requests a second that a pool could do of its usual mix of work.
inline double static_rate(const site& shape, std::size_t pool)
{
    double requests = 0;
    double used = 0;
    for (const work_kind& each : shape.kinds)
    {
        if (each.service == pool)
        {
            requests += capacity_rate(shape, each) * each.usual_part;
            used += each.usual_part;
        }
    }
    return requests / used;
}

/// Returns the configuration of \p shape; service N is that of pool N - 1.
inline configuration configuration_of(const site& shape)
{
    configuration whole;
    whole.data_centres = {{.id = {1}, .name = "dc"}};
    std::uint32_t next_target = 1;
    for (std::size_t pool = 0; pool < shape.pools.size(); ++pool)
    {
        whole.pools.push_back({.name = shape.pools[pool].name});
        for (std::size_t i = 0; i < shape.pools[pool].targets; ++i)
        {
            whole.pools.back().targets.push_back(
                {.id = {next_target++}, .data_centre = {1}});
        }
        whole.services.push_back(
            {.id = {static_cast<std::uint32_t>(pool + 1)},
             .name = shape.pools[pool].name,
             .pool = static_cast<std::uint32_t>(pool),
             .requests_per_second = shape.pools[pool].requests_per_second});
    }
    for (std::uint16_t i = 0; i < tenant_count; ++i)
    {
        whole.tenants.push_back({.id = {i}});
    }
    for (std::size_t kind = 0; kind < shape.kinds.size(); ++kind)
    {
        whole.classes.push_back({.id = {static_cast<std::uint16_t>(kind)},
                                 .name = shape.kinds[kind].name,
                                 .priority = shape.kinds[kind].priority,
                                 .deadline = shape.kinds[kind].deadline});
    }
    return whole;
}

/// The Authority's work.
inline site nairobi()
{
    return {.name = "nairobi",
            .pools = {{.name = "catalogue", .targets = 14},
                      {.name = "mapstore", .targets = 4}},
            .kinds = {{.name = "look-ups",
                       .service = 0,
                       .priority = 0,
                       .work = 10ms,
                       .deadline = 500ms,
                       .usual_part = 0.4},
                      {.name = "submissions",
                       .service = 0,
                       .priority = 1,
                       .work = 25ms,
                       .deadline = 2000ms,
                       .usual_part = 0.2},
                      {.name = "downloads",
                       .service = 1,
                       .priority = 2,
                       .work = 200ms,
                       .deadline = 10000ms,
                       .usual_part = 0.5}},
            .caller_delay = 3ms};
}

/// The Division's work.
inline site reykjanes()
{
    return {.name = "reykjanes",
            .pools = {{.name = "quote-desk", .targets = 14},
                      {.name = "sample-vault", .targets = 4}},
            .kinds = {{.name = "price-sheets",
                       .service = 0,
                       .priority = 0,
                       .work = 10ms,
                       .deadline = 500ms,
                       .usual_part = 0.3},
                      {.name = "surveys",
                       .service = 0,
                       .priority = 1,
                       .work = 50ms,
                       .deadline = 5000ms,
                       .usual_part = 0.3},
                      {.name = "photo-bundles",
                       .service = 1,
                       .priority = 2,
                       .work = 200ms,
                       .deadline = 10000ms,
                       .usual_part = 0.5}},
            .caller_delay = 1ms};
}

} // namespace kumquatpath::bench

#endif
