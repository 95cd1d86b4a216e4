/// \file
/// Admission of one request, by the lanes that are known and the targets of the pool.

#include <kumquatpath/decision/admission.hpp>

#include <capacity/sample_fleet.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <random>

namespace kumquatpath::bench
{
namespace
{

constexpr std::array<std::size_t, 4> lane_counts = {16, 64, 256, 1000};
constexpr std::array<std::size_t, 4> target_counts = {18, 54, 540, 5400};
constexpr std::size_t tenants_per_class = 10;
constexpr std::size_t rounds = 9;
constexpr std::size_t calls = 20'000;
constexpr duration packet_gap = std::chrono::microseconds(10);

/// Returns a configuration of one service whose tenants and classes make \p lanes lanes.
configuration with_lanes(std::size_t lanes, std::size_t target_count)
{
    configuration whole =
        sample_configuration({.services = 1, .targets_per_service = target_count});
    whole.tenants.clear();
    whole.classes.clear();
    for (std::size_t i = 0; i < tenants_per_class; ++i)
    {
        whole.tenants.push_back({.id = {static_cast<std::uint16_t>(i + 1)}});
    }
    for (std::size_t i = 0; i <= lanes / tenants_per_class; ++i)
    {
        whole.classes.push_back({.id = {static_cast<std::uint16_t>(i + 1)}});
    }
    return whole;
}

/// Returns the time to admit a request and to end it.
double time_to_admit(const configuration& whole, std::size_t lanes, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    admission state;
    configure(state, whole);
    note_members(state, sample_view(1), time_point{});
    const auto& targets = whole.pools.front().targets;
    packet_header header{.service = whole.services.front().id};
    time_point now{std::chrono::seconds(1)};
    const auto admit_one = [&]
    {
        const std::size_t lane = random() % lanes;
        header.tenant = whole.tenants[lane % tenants_per_class].id;
        header.traffic_class = whole.classes[lane / tenants_per_class].id;
        now += packet_gap;
        const target_id target = targets[random() % targets.size()].id;
        const admission_result result = admit(state, header, target, now);
        if (result.admitted)
        {
            note_finished(state, result.work, request_end::answered,
                          std::chrono::milliseconds(1), now);
        }
    };
    return nanoseconds_per_call(rounds, calls, admit_one);
}

} // namespace

void measure_admission(ledger& book)
{
    std::vector<cost_point> by_lanes;
    by_lanes.reserve(lane_counts.size());
    for (const std::size_t lanes : lane_counts)
    {
        by_lanes.push_back({static_cast<double>(lanes),
                            time_to_admit(with_lanes(lanes, 11), lanes, book.seed())});
    }
    std::vector<cost_point> by_targets;
    by_targets.reserve(target_counts.size());
    for (const std::size_t count : target_counts)
    {
        by_targets.push_back({static_cast<double>(count),
                              time_to_admit(with_lanes(16, count), 16, book.seed())});
    }
    book.add_line({"admission/by_lanes", "lane", "ns", growth::logarithmic}, by_lanes);
    book.add_line({"admission/by_targets", "target", "ns", growth::logarithmic},
                  by_targets);
    book.tell("admission/memory", "bytes of a lane", sizeof(admission_lane), "bytes");
}

} // namespace kumquatpath::bench
