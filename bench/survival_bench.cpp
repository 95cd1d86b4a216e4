/// \file
/// Open flows under planned changes and failures, by four ways of finding a flow's target
/// and by the flow router without one of its mechanisms.
///
/// Virtual time. A flow lives up to 50 s where it would live up to an hour, and epochs
/// live 60 s; rates are those of 400 flows a second over the fleet, except in the
/// scenarios named full_rate, which run at 3,000 a second on each of 8 instances.

#include "report.hpp"
#include "survival_world.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <span>
#include <string>

namespace
{

using namespace kumquatpath;
using namespace kumquatpath::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::chrono::seconds run_length{120};
constexpr double most_control_bytes = 6000;

struct variant
{
    std::string_view name;
    routing kind = routing::slots_keepers;
    flow_mechanisms mechanisms;

    bool is_bounded() const
    {
        return name == "slots-keepers";
    }
};

constexpr variant variants[] = {
    {.name = "modulo", .kind = routing::modulo},
    {.name = "consistent", .kind = routing::consistent},
    {.name = "consistent-local-table", .kind = routing::local_table},
    {.name = "slots-keepers"},
    {.name = "without-switch", .mechanisms = {.two_phase_switch = false}},
    {.name = "without-lease", .mechanisms = {.view_lease = false}},
    {.name = "without-hand-over", .mechanisms = {.hand_over = false}},
    {.name = "without-replica", .mechanisms = {.replica = false}},
    {.name = "without-second-line", .mechanisms = {.second_line = false}},
};

/// Schedules what a scenario changes; the times are those of the run.
using schedule = void (*)(world&);

void at(world& where, duration when, std::function<void()> what)
{
    where.events().after(when, std::move(what));
}

void drain_target(world& where)
{
    at(where, seconds(20), [&where] { where.drain({{3}}); });
}

void drain_early(world& where)
{
    at(where, seconds(8), [&where] { where.drain({{3}}); });
}

void withdraw_early(world& where)
{
    at(where, seconds(8), [&where] { where.drain_data_centre({2}); });
}

void die_while_busy(world& where)
{
    withdraw_early(where);
    at(where, seconds(18), [&where] { where.die(2); });
}

void drain_data_centre(world& where)
{
    at(where, seconds(20),
       [&where]
       {
           where.drain_data_centre({2});
           for (std::size_t i = 0; i < where.instance_count(); ++i)
           {
               if (where.data_centre_of(i) == data_centre_id{2})
               {
                   where.leave(i);
               }
           }
       });
    at(where, seconds(60), [&where] { where.drain_data_centre({}); });
}

void add_targets(world& where)
{
    at(where, seconds(20), [&where] { where.add_targets(2); });
}

void rolling_instances(world& where)
{
    drain_target(where);
    const std::size_t count = where.instance_count();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto when = seconds(24) + i * seconds(60) / count;
        at(where, when, [&where] { where.join(); });
        at(where, when + seconds(2), [&where, i] { where.leave(i); });
    }
}

void change_during_change(world& where)
{
    at(where, seconds(20), [&where] { where.drain({{3}}); });
    at(where, milliseconds(20700), [&where] { where.drain({{3}, {5}}); });
    at(where, milliseconds(21900), [&where] { where.add_targets(1); });
    at(where, milliseconds(22500), [&where] { where.drain({{5}}); });
}

void together(world& where)
{
    change_during_change(where);
    rolling_instances(where);
}

void together_twice(world& where)
{
    together(where);
    at(where, seconds(50), [&where] { where.drain({{1}, {5}}); });
    at(where, seconds(51), [&where] { where.drain({{1}}); });
    at(where, seconds(52), [&where] { where.drain_data_centre({3}); });
}

void instance_dies(world& where)
{
    drain_target(where);
    at(where, seconds(40), [&where] { where.die(2); });
}

void instance_freezes(world& where)
{
    drain_target(where);
    at(where, seconds(38), [&where] { where.freeze(2, seconds(10)); });
    at(where, seconds(40), [&where] { where.drain({{3}, {5}}); });
}

void data_centre_cut(world& where)
{
    drain_target(where);
    at(where, seconds(40), [&where] { where.cut({2}); });
    at(where, seconds(50), [&where] { where.cut({}); });
}

struct scenario
{
    std::string_view name;
    schedule changes;
    /// Whether every flow has to survive.
    bool is_bounded = true;
    std::chrono::seconds length = run_length;
    world_options options;
};

const scenario scenarios[] = {
    {.name = "drain_target", .changes = drain_target},
    {.name = "drain_data_centre", .changes = drain_data_centre},
    {.name = "add_targets", .changes = add_targets},
    {.name = "rolling_instances", .changes = rolling_instances},
    {.name = "change_during_change", .changes = change_during_change},
    {.name = "together", .changes = together},
    {.name = "together_twice", .changes = together_twice},
    {.name = "sixty_instances",
     .changes = together_twice,
     .options = {.instances = 60, .flows_per_second = 800}},
    {.name = "full_rate",
     .changes = drain_early,
     .length = seconds(30),
     .options = {.flows_per_second = 24000}},
    {.name = "full_rate_withdrawal",
     .changes = withdraw_early,
     .length = seconds(30),
     .options = {.flows_per_second = 24000}},
    {.name = "full_rate_death",
     .changes = die_while_busy,
     .length = seconds(30),
     .options = {.flows_per_second = 24000}},
    {.name = "instance_dies", .changes = instance_dies},
    {.name = "instance_freezes", .changes = instance_freezes},
    {.name = "data_centre_cut", .changes = data_centre_cut, .is_bounded = false},
};

class scenario_report
{
public:
    scenario_report(report& out, const variant& way, const scenario& what)
        : out_(out), way_(way), what_(what)
    {
    }

    void add(std::string_view metric, double value, std::string_view unit,
             std::optional<double> most = {})
    {
        const std::string name = std::string(what_.name) + "." + std::string(metric);
        std::optional<metric_bound> bound;
        if (most && way_.is_bounded())
        {
            bound = metric_bound{bound_kind::at_most, *most};
        }
        out_.add({way_.name, name, value, unit, bound});
    }

private:
    report& out_;
    const variant& way_;
    const scenario& what_;
};

void run(const variant& way, const scenario& what, std::uint64_t seed, report& out)
{
    world_options options = what.options;
    options.seed = seed;
    options.kind = way.kind;
    options.mechanisms = way.mechanisms;
    world simulated(options);
    what.changes(simulated);
    simulated.events().run_until(time_point(what.length));

    const world_outcome& seen = simulated.outcome();
    const auto must_survive = what.is_bounded ? std::optional(0.0) : std::nullopt;
    const double spans = std::chrono::duration<double>(what.length).count();
    const double control = static_cast<double>(simulated.control().total()) /
                           (spans * simulated.fleet_size());
    scenario_report lines(out, way, what);
    lines.add("flows", static_cast<double>(seen.flows), "flows");
    lines.add("broken", static_cast<double>(seen.broken), "flows", must_survive);
    lines.add("failed", static_cast<double>(seen.failed), "flows", must_survive);
    lines.add("unopened", static_cast<double>(seen.unopened), "flows");
    lines.add("late_opens", static_cast<double>(seen.late_opens), "flows", 0);
    lines.add("passed_on",
              static_cast<double>(seen.passed_on) / static_cast<double>(seen.packets),
              "packets/packet");
    lines.add("control", control, "bytes/s/instance", most_control_bytes);
    lines.add("control_peak", simulated.control().peak_rate(), "bytes/s/instance",
              most_control_bytes);
}

/// Returns a configuration of the target size: 490 services before 5,400 targets.
configuration target_size_configuration()
{
    constexpr std::uint32_t service_count = 490;
    constexpr std::uint32_t target_count = 5400;
    configuration whole;
    whole.generation = {1};
    whole.data_centres.push_back({.id = {1}});
    whole.pools.resize(service_count);
    for (std::uint32_t i = 0; i < target_count; ++i)
    {
        whole.pools[i % service_count].targets.push_back(
            {.id = {i + 1}, .data_centre = {1}});
    }
    for (std::uint32_t i = 0; i < service_count; ++i)
    {
        whole.services.push_back({.id = {i + 1}, .pool = i});
    }
    return whole;
}

/// Drains the first target of pool \p pool at \p wall.
void drain_first(configuration& whole, std::uint32_t pool, wall_time wall)
{
    ++whole.generation.value;
    const auto before = active_targets(whole, whole.pools[pool]);
    whole.pools[pool].targets[0].state = administrative_state::draining;
    whole.services[pool].epochs.push_back({whole.generation, wall, before});
}

double milliseconds_of(const std::function<void()>& what)
{
    const auto start = std::chrono::steady_clock::now();
    what();
    const std::chrono::duration<double, std::milli> span =
        std::chrono::steady_clock::now() - start;
    return span.count();
}

double bytes_of(const placement_plan& plan)
{
    std::size_t bytes = 0;
    for (const auto& [id, placement] : plan.services)
    {
        bytes += sizeof *placement + placement->current.size() * sizeof(std::uint16_t) +
                 placement->moves.size() * sizeof(moved_slot) +
                 placement->stays.size() * sizeof(slot_stay);
    }
    return static_cast<double>(bytes);
}

/// Measures what placements and keepers cost an instance at the target size.
void measure_cost(report& out)
{
    constexpr std::uint32_t instance_count = 570;
    constexpr std::uint32_t changed_services = 20;
    const wall_time wall(std::chrono::hours(1000));
    configuration whole = target_size_configuration();
    std::shared_ptr<const placement_plan> plan;
    const double first =
        milliseconds_of([&] { plan = plan_placements(whole, nullptr, wall); });
    double changes = 0;
    for (std::uint32_t i = 0; i < changed_services; ++i)
    {
        drain_first(whole, i, wall);
        changes +=
            milliseconds_of([&] { plan = plan_placements(whole, plan.get(), wall); });
    }
    member_view view{.self = {1}};
    for (std::uint32_t i = 1; i <= instance_count; ++i)
    {
        view.members.push_back({.instance = {i}, .data_centre = {i % 7}});
    }
    const auto groups = std::make_unique<keeper_groups>();
    const double adopted =
        milliseconds_of([&] { adopt_keepers(*groups, view, time_point(seconds(1))); });
    out.add({"slots-keepers", "target_size.plan_first", first, "ms", {}});
    out.add({"slots-keepers",
             "target_size.plan_change",
             changes / changed_services,
             "ms",
             {}});
    out.add({"slots-keepers", "target_size.plan_memory", bytes_of(*plan), "bytes", {}});
    out.add({"slots-keepers", "target_size.adopt_view", adopted, "ms", {}});
    out.add({"slots-keepers", "target_size.flow_entry",
             static_cast<double>(sizeof(flow_entry)), "bytes",
             metric_bound{bound_kind::at_most, 32}});
}

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "survival");
    violation_policy_is(violation_policy::abort);
    report out("survival", options.seed);
    for (const variant& way : variants)
    {
        if (!options.variant.empty() && options.variant != way.name)
        {
            continue;
        }
        for (const scenario& what : scenarios)
        {
            run(way, what, options.seed, out);
        }
        if (way.is_bounded())
        {
            measure_cost(out);
        }
    }
    return out.exit_code();
}
