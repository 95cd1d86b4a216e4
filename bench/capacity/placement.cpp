/// \file
/// The placement of slots: its cost by the size of a pool, of the whole configuration, of
/// a new flow, and the slots that a withdrawal moves.

#include <kumquatpath/decision/flow_router.hpp>

#include <capacity/sample_fleet.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <random>

namespace kumquatpath::bench
{
namespace
{

constexpr std::array<std::size_t, 5> pool_sizes = {18, 54, 180, 540, 1800};
constexpr std::array<std::size_t, 4> service_counts = {60, 120, 245, 490};
constexpr std::array<std::size_t, 3> new_flow_targets = {18, 540, 5400};
constexpr std::size_t mean_pool = 11;
constexpr std::size_t whole_services = 490;
constexpr double nanoseconds_per_millisecond = 1e6;

double milliseconds_of(double nanoseconds)
{
    return nanoseconds / nanoseconds_per_millisecond;
}

std::vector<target_id> pool_of(std::size_t count)
{
    const configuration whole =
        sample_configuration({.services = 1, .targets_per_service = count});
    return active_targets(whole, whole.pools.front());
}

/// One pool: the work is the count of slots times the count of targets.
void measure_pool(ledger& book)
{
    std::vector<cost_point> by_pairs;
    for (const std::size_t size : pool_sizes)
    {
        const auto pool = pool_of(size);
        const std::uint32_t slots = slot_count_for(size);
        const double time =
            nanoseconds_per_call(2, 1, [&] { keep(place_slots(pool, slots)); });
        const double pairs = static_cast<double>(size) * slots;
        by_pairs.push_back({pairs, milliseconds_of(time)});
        book.tell("placement/pool", "time at " + std::to_string(size) + " targets",
                  milliseconds_of(time), "ms");
        book.tell("placement/pool", "slots at " + std::to_string(size) + " targets",
                  static_cast<double>(slots), "slots");
    }
    const cost_line& line =
        book.add_line({"placement/pool_by_pairs", "slot-target pair", "ms"}, by_pairs);
    const double all = targets * slot_count_for(static_cast<std::size_t>(targets));
    book.tell("placement/pool", "time if 5400 targets were one pool, from the line",
              line.at(all), "ms");
}

double plan_bytes(const placement_plan& plan)
{
    double bytes = 0;
    for (const auto& [id, placed] : plan.services)
    {
        bytes += static_cast<double>(placed->targets.size() * sizeof(target_id) +
                                     placed->current.size() * sizeof(std::uint16_t) +
                                     placed->moves.size() * sizeof(moved_slot) +
                                     placed->stays.size() * sizeof(slot_stay) +
                                     sizeof(service_placement));
        for (const placement_layer& layer : placed->layers)
        {
            bytes += static_cast<double>(layer.targets.size() * sizeof(target_id) +
                                         sizeof layer);
        }
    }
    return bytes;
}

double moved_fraction(const placement_plan& plan)
{
    double moved = 0;
    double all = 0;
    for (const auto& [id, placed] : plan.services)
    {
        moved += static_cast<double>(placed->moves.size());
        all += placed->slot_count;
    }
    return moved / all;
}

/// A data centre is withdrawn: every service gets one more layer.
void measure_withdrawal(ledger& book, const configuration& whole,
                        const placement_plan& before)
{
    const configuration next = drain_data_centre(whole, 0, wall_time{});
    std::shared_ptr<const placement_plan> after;
    const double time = nanoseconds_per_call(
        1, 1, [&] { after = plan_placements(next, &before, wall_time{}); });
    book.tell("placement/data_centre_withdrawn", "time to plan every service",
              milliseconds_of(time), "ms");
    book.tell("placement/data_centre_withdrawn", "slots moved", moved_fraction(*after),
              "fraction");
    book.tell("placement/data_centre_withdrawn", "bytes of the plan", plan_bytes(*after),
              "bytes");
}

/// One target of one service is withdrawn, as most changes do.
void measure_change(ledger& book, const configuration& whole,
                    const placement_plan& before)
{
    configuration next = whole;
    ++next.generation.value;
    service& changed = next.services.front();
    changed.epochs.push_back(
        {.retired_in = next.generation,
         .targets = active_targets(whole, whole.pools[changed.pool])});
    next.pools[changed.pool].targets.front().state = administrative_state::draining;
    std::shared_ptr<const placement_plan> after;
    const double time = nanoseconds_per_call(
        5, 1, [&] { after = plan_placements(next, &before, wall_time{}); });
    book.tell("placement/target_withdrawn", "time to plan the change",
              milliseconds_of(time), "ms");
    book.tell("placement/target_withdrawn", "slots of its service moved",
              moved_fraction(*after) * whole_services, "fraction");
}

void measure_plan(ledger& book)
{
    std::vector<cost_point> times;
    std::vector<cost_point> bytes;
    for (const std::size_t services : service_counts)
    {
        const configuration whole = sample_configuration(
            {.services = services, .targets_per_service = mean_pool});
        std::shared_ptr<const placement_plan> plan;
        const double time = nanoseconds_per_call(
            2, 1, [&] { plan = plan_placements(whole, nullptr, wall_time{}); });
        times.push_back({static_cast<double>(services), milliseconds_of(time)});
        bytes.push_back({static_cast<double>(services), plan_bytes(*plan)});
        if (services == whole_services)
        {
            measure_withdrawal(book, whole, *plan);
            measure_change(book, whole, *plan);
        }
    }
    book.add_line({"placement/plan_time", "service", "ms"}, times);
    book.add_line({"placement/plan_bytes", "service", "bytes"}, bytes);
}

/// The whole decision for the first packet of a flow.
void measure_new_flow(ledger& book)
{
    constexpr std::size_t rounds = 9;
    constexpr std::size_t calls = 200'000;
    for (const std::size_t count : new_flow_targets)
    {
        const std::size_t services = std::max<std::size_t>(1, count / mean_pool);
        const configuration whole = sample_configuration(
            {.services = services, .targets_per_service = count / services});
        flow_router router = make_flow_router({.self = sample_instance(0)});
        const time_point now{std::chrono::seconds(1)};
        adopt_plan(router, plan_placements(whole, nullptr, wall_time{}), whole.generation,
                   now);
        std::mt19937_64 random(book.seed());
        action_list actions;
        packet_header header{.kind = packet_kind::open};
        const double time = nanoseconds_per_call(
            rounds, calls,
            [&]
            {
                header.service = whole.services[random() % services].id;
                header.flow = {random()};
                actions.clear();
                route_packet(router, {.header = header, .payload = {}, .from = {}}, now,
                             actions);
            });
        book.tell("placement/new_flow", "time at " + std::to_string(count) + " targets",
                  time, "ns");
    }
}

} // namespace

void measure_placement(ledger& book)
{
    measure_pool(book);
    measure_plan(book);
    measure_new_flow(book);
}

} // namespace kumquatpath::bench
