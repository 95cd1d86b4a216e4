#ifndef KUMQUATPATH_BENCH_INSTANCE_FLEET_HPP
#define KUMQUATPATH_BENCH_INSTANCE_FLEET_HPP

/// \file
/// Whole instances in virtual time: the composed decisions of each, joined by delays,
/// cuts and pauses, with a small stand-in for the platform. It measures control traffic
/// by encoding every message as the daemon does.

#include <kumquatpath/decision/instance.hpp>
#include <kumquatpath/edge/peer_codec.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <boost/random/taus88.hpp>

#include <event_queue.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace kumquatpath::bench
{

/// What a fleet is made of.
struct fleet_options
{
    std::size_t instances = 8;
    std::size_t data_centres = 3;
    std::uint64_t seed = 1;
    /// The share of messages between instances that are lost.
    double loss = 0.01;
    /// When true, every instance watches the platform itself, as the simplest way would.
    bool everybody_reads = false;
    /// When true, newcomers and others do not fetch from peers.
    bool peers_are_mute = false;
};

/// The stand-in for the platform: one configuration and one roster, and counted calls.
struct fake_platform
{
    bool is_up = true;
    std::shared_ptr<const configuration> newest;
    roster stored;
    store_revision revision;
    std::uint64_t leader = 0;
    time_point leader_until{};
    std::uint64_t calls = 0;
};

/// One instance and what surrounds its decisions.
struct fleet_node
{
    instance_state state;
    bool is_up = true;
    bool is_paused = false;
    std::uint64_t incarnation = 0;
    time_point next_read{};
    time_point next_fetch{};
    std::uint64_t control_bytes = 0;
    std::uint64_t transferred_bytes = 0;
    /// When the newest generation came into force here.
    time_point adopted{};
    generation highest;
};

/// The fleet; made by start_fleet().
struct instance_fleet
{
    fleet_options options;
    event_queue queue;
    boost::random::taus88 random;
    fake_platform platform;
    std::vector<std::unique_ptr<fleet_node>> nodes;
    /// Data centres that hear neither the others nor the platform.
    std::set<std::size_t> cut_off;
    std::uint64_t reverts = 0;
};

/// Makes a fleet whose instances all start within the first second.
std::unique_ptr<instance_fleet> start_fleet(const fleet_options& options);

/// Returns the data centre of node \p index.
std::size_t data_centre_of(const instance_fleet& fleet, std::size_t index);

/// Stops node \p index at once, and starts it again after \p pause with nothing
/// remembered.
void replace_node(instance_fleet& fleet, std::size_t index, duration pause);

/// Publishes a further generation on the platform and returns it.
generation publish(instance_fleet& fleet, std::size_t targets);

/// Returns how many nodes that are up have \p wanted or a later one in force.
std::size_t count_in_force(const instance_fleet& fleet, generation wanted);

/// Returns how many nodes that are up let \p wanted or a later one take new flows.
std::size_t count_switched(const instance_fleet& fleet, generation wanted);

/// Returns how many nodes that are up may claim submissions.
std::size_t count_claiming(const instance_fleet& fleet);

/// Runs until \p reached holds, for at most \p limit, and returns the time that it took.
duration run_until(instance_fleet& fleet, const std::function<bool()>& reached,
                   duration limit);

/// Returns the control bytes that all nodes have sent.
std::uint64_t control_bytes(const instance_fleet& fleet);

} // namespace kumquatpath::bench

#endif
