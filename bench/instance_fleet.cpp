#include "instance_fleet.hpp"

#include <kumquatpath/decision/platform_reader.hpp>

#include <algorithm>
#include <string>

namespace kumquatpath::bench
{
namespace
{

using std::chrono::milliseconds;

constexpr duration tick_interval = milliseconds(20);
constexpr duration fetch_interval = milliseconds(300);
constexpr duration peer_delay = std::chrono::microseconds(500);
constexpr duration platform_delay = milliseconds(3);
/// How long a watch takes to tell its reader of a write.
constexpr duration watch_delay = milliseconds(10);
constexpr duration newcomer_read_interval = milliseconds(1000);
/// The bytes of one target in a stored configuration, as measured for docs/CAPACITY.md.
constexpr std::uint64_t bytes_per_target = 80;

std::string name_of(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

std::string data_centre_name(std::size_t index)
{
    return "data-centre-" + std::to_string(index);
}

bool is_lost(instance_fleet& fleet)
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(fleet.random()) / range < fleet.options.loss;
}

duration any_delay(instance_fleet& fleet, duration mean)
{
    constexpr std::int64_t steps = 1024;
    return mean / 2 + mean * static_cast<std::int64_t>(fleet.random() % steps) / steps;
}

std::size_t index_of(const instance_fleet& fleet, instance_id instance)
{
    const auto found =
        std::ranges::find_if(fleet.nodes, [&](const auto& each)
                             { return each->state.members.self.instance == instance; });
    return static_cast<std::size_t>(found - fleet.nodes.begin());
}

bool is_cut_off(const instance_fleet& fleet, std::size_t index)
{
    return fleet.cut_off.contains(data_centre_of(fleet, index));
}

bool can_reach(const instance_fleet& fleet, std::size_t from, std::size_t to)
{
    return data_centre_of(fleet, from) == data_centre_of(fleet, to) ||
           (!is_cut_off(fleet, from) && !is_cut_off(fleet, to));
}

bool reaches_platform(const instance_fleet& fleet, std::size_t index)
{
    return fleet.platform.is_up && !is_cut_off(fleet, index);
}

/// Runs \p what at node \p index unless it is down, was replaced, or is paused; a paused
/// node takes it when it wakes.
template <class What>
void run_at(instance_fleet& fleet, std::size_t index, std::uint64_t incarnation,
            What what)
{
    fleet_node& node = *fleet.nodes[index];
    if (!node.is_up || node.incarnation != incarnation)
    {
        return;
    }
    if (node.is_paused)
    {
        fleet.queue.after(tick_interval, [&fleet, index, incarnation, what]
                          { run_at(fleet, index, incarnation, what); });
        return;
    }
    what(node);
}

std::uint64_t encoded_size(const fleet_node& from, const peer_message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<std::byte> bytes;
    encode_peer(
        builder,
        {.sender = from.state.members.self.instance, .sequence = 1, .body = message},
        peer_key{}, bytes);
    return bytes.size();
}

void carry_out(instance_fleet& fleet, std::size_t index, const action_list& actions);

void deliver(instance_fleet& fleet, std::size_t from, const send_to_peer& order)
{
    const std::size_t to = index_of(fleet, order.peer);
    fleet_node& sender = *fleet.nodes[from];
    sender.control_bytes += encoded_size(sender, order.message);
    if (to == fleet.nodes.size() || !can_reach(fleet, from, to) || is_lost(fleet))
    {
        return;
    }
    const instance_id source = sender.state.members.self.instance;
    fleet.queue.after(any_delay(fleet, peer_delay),
                      [&fleet, to, source, message = order.message,
                       incarnation = fleet.nodes[to]->incarnation]
                      {
                          run_at(fleet, to, incarnation,
                                 [&fleet, to, source, message](fleet_node& node)
                                 {
                                     action_list actions;
                                     decide_peer_message(node.state, source, message,
                                                         fleet.queue.now(), actions);
                                     carry_out(fleet, to, actions);
                                 });
                      });
}

void carry_out(instance_fleet& fleet, std::size_t index, const action_list& actions)
{
    for (const action& each : actions)
    {
        if (const auto* const order = std::get_if<send_to_peer>(&each))
        {
            deliver(fleet, index, *order);
        }
    }
}

wall_time wall_at(const instance_fleet& fleet)
{
    constexpr milliseconds start{1'800'000'000'000};
    return wall_time(start + std::chrono::duration_cast<milliseconds>(
                                 fleet.queue.now().time_since_epoch()));
}

void adopt(instance_fleet& fleet, fleet_node& node,
           std::shared_ptr<const configuration> next)
{
    if (adopt_configuration(node.state, std::move(next), wall_at(fleet),
                            fleet.queue.now()))
    {
        node.adopted = fleet.queue.now();
    }
    const generation now_in_force = node.state.in_force->generation;
    fleet.reverts += now_in_force < node.highest ? 1U : 0U;
    node.highest = std::max(node.highest, now_in_force);
}

generation generation_of(const fleet_node& node)
{
    return node.state.in_force ? node.state.in_force->generation : generation{};
}

/// Reads from the platform when this node's turn has come.
void read_platform(instance_fleet& fleet, std::size_t index)
{
    fleet_node& node = *fleet.nodes[index];
    const time_point now = fleet.queue.now();
    const bool watches =
        fleet.options.everybody_reads || reads_platform(node.state.members);
    if (now < node.next_read)
    {
        return;
    }
    const bool is_newcomer = node.state.in_force == nullptr;
    const duration pause = watches       ? milliseconds(2000)
                           : is_newcomer ? newcomer_read_interval
                                         : platform_poll_interval(node.state.members);
    node.next_read = now + any_delay(fleet, pause);
    ++fleet.platform.calls;
    if (!reaches_platform(fleet, index) || fleet.platform.newest == nullptr)
    {
        return;
    }
    fleet.queue.after(
        platform_delay,
        [&fleet, index, newest = fleet.platform.newest, incarnation = node.incarnation]
        {
            run_at(fleet, index, incarnation,
                   [&fleet, newest](fleet_node& at) { adopt(fleet, at, newest); });
        });
}

/// Fetches the configuration from a peer that has told of a newer one.
void fetch_from_peer(instance_fleet& fleet, std::size_t index)
{
    fleet_node& node = *fleet.nodes[index];
    const auto holder = newer_configuration_at(node.state);
    if (!holder || fleet.options.peers_are_mute || fleet.queue.now() < node.next_fetch)
    {
        return;
    }
    node.next_fetch = fleet.queue.now() + fetch_interval;
    const std::size_t from = index_of(fleet, *holder);
    if (from == fleet.nodes.size() || !can_reach(fleet, index, from) ||
        !fleet.nodes[from]->is_up || fleet.nodes[from]->state.in_force == nullptr)
    {
        return;
    }
    const auto held = fleet.nodes[from]->state.in_force;
    fleet.nodes[from]->transferred_bytes +=
        held->pools[0].targets.size() * bytes_per_target;
    const auto members = living_members(fleet.nodes[from]->state.members);
    fleet.queue.after(4 * peer_delay,
                      [&fleet, index, held, members, incarnation = node.incarnation]
                      {
                          run_at(fleet, index, incarnation,
                                 [&fleet, held, members](fleet_node& at)
                                 {
                                     merge_members(at.state.members, members,
                                                   fleet.queue.now());
                                     adopt(fleet, at, held);
                                 });
                      });
}

// The store of the roster.

void answer_store(instance_fleet& fleet, fleet_node& node, const acquire_lease& command)
{
    fake_platform& platform = fleet.platform;
    const bool is_free = platform.leader == command.token.value ||
                         fleet.queue.now() >= platform.leader_until;
    if (is_free)
    {
        platform.leader = command.token.value;
        platform.leader_until = fleet.queue.now() + command.time_to_live;
    }
    receive_store_answer(node.state, lease_answer{command.request, is_free});
}

void answer_store(instance_fleet& fleet, fleet_node& node, const read_roster& command)
{
    receive_store_answer(node.state,
                         roster_answer{.request = command.request,
                                       .value = fleet.platform.stored,
                                       .revision = fleet.platform.revision},
                         fleet.queue.now());
}

void answer_store(instance_fleet& fleet, fleet_node& node, const write_roster& command)
{
    fake_platform& platform = fleet.platform;
    const bool is_accepted = command.expected == platform.revision;
    if (is_accepted)
    {
        platform.stored = command.value;
        ++platform.revision.value;
    }
    receive_store_answer(node.state,
                         roster_answer{.request = command.request,
                                       .is_accepted = is_accepted,
                                       .value = platform.stored,
                                       .revision = platform.revision},
                         fleet.queue.now());
}

void ask_store(instance_fleet& fleet, std::size_t index)
{
    fleet_node& node = *fleet.nodes[index];
    for (const store_command& each : node.state.store_commands)
    {
        ++fleet.platform.calls;
        if (!reaches_platform(fleet, index))
        {
            continue;
        }
        fleet.queue.after(platform_delay,
                          [&fleet, index, each, incarnation = node.incarnation]
                          {
                              run_at(fleet, index, incarnation,
                                     [&fleet, each](fleet_node& at) {
                                         std::visit([&](const auto& command)
                                                    { answer_store(fleet, at, command); },
                                                    each);
                                     });
                          });
    }
    node.state.store_commands.clear();
}

void tick_node(instance_fleet& fleet, std::size_t index, std::uint64_t incarnation)
{
    fleet_node& node = *fleet.nodes[index];
    if (!node.is_up || node.incarnation != incarnation)
    {
        return;
    }
    if (!node.is_paused)
    {
        action_list actions;
        tick(node.state, wall_at(fleet), fleet.queue.now(), actions);
        carry_out(fleet, index, actions);
        read_platform(fleet, index);
        fetch_from_peer(fleet, index);
        ask_store(fleet, index);
    }
    fleet.queue.after(tick_interval, [&fleet, index, incarnation]
                      { tick_node(fleet, index, incarnation); });
}

void start_node(instance_fleet& fleet, std::size_t index)
{
    fleet_node& node = *fleet.nodes[index];
    const time_point now = fleet.queue.now();
    ++node.incarnation;
    const auto started =
        static_cast<std::uint64_t>(wall_at(fleet).time_since_epoch().count());
    const data_centre_id home{
        id_of<data_centre_id>(data_centre_name(data_centre_of(fleet, index)))};
    node.state = make_instance({.self = {.instance = id_of<instance_id>(name_of(index)),
                                         .incarnation = {started},
                                         .data_centre = home}},
                               now);
    node.is_up = true;
    node.highest = {};
    node.next_read = now + any_delay(fleet, milliseconds(200));
    for (std::size_t seed = 0; seed < std::min<std::size_t>(3, fleet.options.instances);
         ++seed)
    {
        const data_centre_id there{
            id_of<data_centre_id>(data_centre_name(data_centre_of(fleet, seed)))};
        note_listed(node.state.members,
                    {.instance = id_of<instance_id>(name_of(seed)), .data_centre = there},
                    now);
    }
    tick_node(fleet, index, node.incarnation);
}

/// Returns whether the latest watch of a node has told it of a write.
void tell_watchers(instance_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
    {
        fleet_node& node = *fleet.nodes[i];
        const bool watches =
            fleet.options.everybody_reads || reads_platform(node.state.members);
        if (!node.is_up || !watches || !reaches_platform(fleet, i))
        {
            continue;
        }
        fleet.queue.after(
            any_delay(fleet, watch_delay),
            [&fleet, i, newest = fleet.platform.newest, incarnation = node.incarnation]
            {
                run_at(fleet, i, incarnation,
                       [&fleet, newest](fleet_node& at) { adopt(fleet, at, newest); });
            });
    }
}

template <class Predicate>
std::size_t count_nodes(const instance_fleet& fleet, Predicate holds)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(fleet.nodes, [&](const std::unique_ptr<fleet_node>& each)
                              { return each->is_up && holds(*each); }));
}

} // namespace

std::unique_ptr<instance_fleet> start_fleet(const fleet_options& options)
{
    auto fleet = std::make_unique<instance_fleet>();
    fleet->options = options;
    fleet->random.seed(static_cast<std::uint32_t>(options.seed));
    fleet->queue.run_until(time_point(std::chrono::seconds(1)));
    for (std::size_t i = 0; i < options.instances; ++i)
    {
        fleet->nodes.push_back(std::make_unique<fleet_node>());
    }
    for (std::size_t i = 0; i < options.instances; ++i)
    {
        fleet->queue.after(any_delay(*fleet, milliseconds(600)),
                           [&held = *fleet, i] { start_node(held, i); });
    }
    return fleet;
}

std::size_t data_centre_of(const instance_fleet& fleet, std::size_t index)
{
    return index % fleet.options.data_centres;
}

void replace_node(instance_fleet& fleet, std::size_t index, duration pause)
{
    fleet.nodes[index]->is_up = false;
    fleet.queue.after(pause, [&fleet, index] { start_node(fleet, index); });
}

generation publish(instance_fleet& fleet, std::size_t targets)
{
    auto next = std::make_shared<configuration>();
    next->generation = fleet.platform.newest
                           ? generation{fleet.platform.newest->generation.value + 1}
                           : generation{1};
    for (std::size_t i = 0; i < fleet.options.data_centres; ++i)
    {
        const std::string name = data_centre_name(i);
        next->data_centres.push_back(
            {.id = id_of<data_centre_id>(name), .name = name, .region = "region"});
    }
    next->pools.push_back({.name = "hosts"});
    for (std::size_t i = 0; i < targets; ++i)
    {
        const std::string name = "target-" + std::to_string(i);
        next->pools[0].targets.push_back({.id = id_of<target_id>(name),
                                          .name = name,
                                          .data_centre = next->data_centres[0].id});
    }
    next->services.push_back({.id = id_of<service_id>("service"), .name = "service"});
    fleet.platform.newest = std::move(next);
    tell_watchers(fleet);
    return fleet.platform.newest->generation;
}

std::size_t count_in_force(const instance_fleet& fleet, generation wanted)
{
    return count_nodes(fleet, [&](const fleet_node& node)
                       { return generation_of(node) >= wanted; });
}

std::size_t count_switched(const instance_fleet& fleet, generation wanted)
{
    return count_nodes(fleet, [&](const fleet_node& node)
                       { return node.state.router.switched >= wanted; });
}

std::size_t count_claiming(const instance_fleet& fleet)
{
    return count_nodes(fleet, [&](const fleet_node& node)
                       { return may_claim(node.state, fleet.queue.now()); });
}

duration run_until(instance_fleet& fleet, const std::function<bool()>& reached,
                   duration limit)
{
    const time_point start = fleet.queue.now();
    while (!reached() && fleet.queue.now() - start < limit)
    {
        fleet.queue.run_until(fleet.queue.now() + tick_interval);
    }
    return fleet.queue.now() - start;
}

std::uint64_t control_bytes(const instance_fleet& fleet)
{
    std::uint64_t total = 0;
    for (const auto& each : fleet.nodes)
    {
        total += each->control_bytes;
    }
    return total;
}

} // namespace kumquatpath::bench
