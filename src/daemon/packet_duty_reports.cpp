/// \file
/// What the packet duty tells the other duties, and asks of them, from tick to tick.

#include "drain_view.hpp"
#include "packet_duty.hpp"

#include <kumquatpath/decision/platform_reader.hpp>
#include <kumquatpath/edge/clock.hpp>

namespace kumquatpath
{
namespace
{

/// Counting the flows of drains looks at the whole table, so it is done seldom.
constexpr duration drains_interval = std::chrono::seconds(5);
constexpr duration fetch_interval = std::chrono::milliseconds(300);

} // namespace

void packet_duty::tell_platform_duty()
{
    outputs_.platform(reader_role{
        .is_reader = reads_platform(state_.members),
        .poll_interval = platform_poll_interval(state_.members),
        .in_force = state_.in_force ? state_.in_force->generation : generation{}});
}

void packet_duty::order_store_commands()
{
    for (const store_command& each : state_.store_commands)
    {
        outputs_.roster({.region = std::string(region_of(state_)), .command = each});
    }
    state_.store_commands.clear();
}

void packet_duty::fetch_newer_configuration(time_point now)
{
    const auto holder = newer_configuration_at(state_);
    if (!holder || now - last_fetch_ < fetch_interval)
    {
        return;
    }
    const known_member* const known = find_member(state_.members, *holder);
    if (known == nullptr)
    {
        return;
    }
    last_fetch_ = now;
    outputs_.transfer(fetch_configuration{
        .peer = known->digest.address,
        .newer_than = state_.in_force ? state_.in_force->generation : generation{}});
}

void packet_duty::refresh_drains(time_point now)
{
    if (!state_.in_force || now - last_drains_ < drains_interval)
    {
        return;
    }
    last_drains_ = now;
    drains_ = drains_of(*state_.in_force, state_.router, wall_now());
}

void packet_duty::publish_snapshot()
{
    outputs_.operators(make_snapshot());
    if (published_version_ == state_.members.version || !envelope_text_)
    {
        return;
    }
    published_version_ = state_.members.version;
    outputs_.transfer(publish_configuration{.number = state_.in_force->generation,
                                            .text = envelope_text_,
                                            .members = living_members(state_.members)});
}

shared_snapshot packet_duty::make_snapshot() const
{
    auto snapshot = std::make_shared<instance_snapshot>();
    snapshot->instance = settings_.name;
    snapshot->data_centre = settings_.data_centre;
    snapshot->is_leaving = state_.is_leaving;
    snapshot->may_claim = may_claim(state_, monotonic_now());
    if (state_.in_force)
    {
        snapshot->in_force = state_.in_force->generation;
        snapshot->switched = state_.router.switched;
    }
    for (const member& each : view_of(state_.members).members)
    {
        snapshot->members.push_back(
            {.instance = "#" + std::to_string(each.instance.value), .state = each.state});
    }
    snapshot->drains = drains_;
    copy_metrics(metrics_, state_.in_force.get(), *snapshot);
    return snapshot;
}

} // namespace kumquatpath
