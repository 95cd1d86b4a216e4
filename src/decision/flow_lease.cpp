#include "flow_router_detail.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

using namespace detail;

/// The most generations that wait for their switch at a time.
constexpr std::size_t most_announced = 16;

bool has_peers(const member_view& view)
{
    return std::ranges::any_of(
        view.members, [&view](const member& each)
        { return each.instance != view.self && each.state == member_state::alive; });
}

bool is_behind(const flow_router& router)
{
    return router.plan != nullptr && router.newest_switched > router.plan->generation;
}

void announce(flow_router& router, generation next, time_point now)
{
    if (router.announced.size() == most_announced)
    {
        router.announced.pop_back();
    }
    router.announced.push_back({next, now});
}

/// Lets every generation take new flows whose time has come.
void switch_generations(flow_router& router, time_point now)
{
    const duration delay = router.options.mechanisms.two_phase_switch
                               ? router.options.switch_delay
                               : duration::zero();
    for (const announced_generation& each : router.announced)
    {
        if (now - each.learned >= delay)
        {
            router.switched = std::max(router.switched, each.generation);
        }
    }
    if (router.plan != nullptr)
    {
        // A generation that never came here by itself counts too: the plan includes it.
        const generation seen = std::min(router.newest_switched, router.plan->generation);
        router.switched = std::max(router.switched, seen);
    }
    std::erase_if(router.announced, [&router](const announced_generation& each)
                  { return each.generation <= router.switched; });
}

} // namespace

namespace detail
{

wall_time wall_at(const flow_router& router, time_point now)
{
    return router.wall_at_origin +
           std::chrono::duration_cast<wall_time::duration>(now.time_since_epoch());
}

void observe(flow_router& router, time_point now)
{
    const bool has_started = !router.last_event.has_value();
    const bool was_paused =
        !has_started && now - *router.last_event > router.options.view_lease;
    if (has_started || was_paused)
    {
        router.woken = now;
    }
    router.last_event = now;
    router.was_paused = router.was_paused || was_paused;
    if (was_paused && router.options.mechanisms.view_lease)
    {
        distrust_kept_groups(router.groups, router.view, now);
    }
}

} // namespace detail

void adopt_plan(flow_router& router, std::shared_ptr<const placement_plan> plan,
                generation initial, time_point now)
{
    observe(router, now);
    const bool is_first = router.plan == nullptr;
    const bool is_newer = is_first || plan->generation >= router.plan->generation;
    if (!assert_invariant(invariant::generation_never_reverts, is_newer))
    {
        return;
    }
    if (is_first)
    {
        router.switched = initial;
    }
    if (plan->generation > router.switched)
    {
        announce(router, plan->generation, now);
    }
    router.plan = std::move(plan);
    switch_generations(router, now);
}

void note_peer(flow_router& router, generation switched_there, time_point now)
{
    observe(router, now);
    router.newest_switched = std::max(router.newest_switched, switched_there);
    // What is read right after a pause may have been sent before it.
    const bool is_fresh = now - router.woken >= router.options.wake_guard;
    if (is_fresh || !router.options.mechanisms.view_lease)
    {
        router.last_heard = now;
    }
    switch_generations(router, now);
}

bool is_certain(const flow_router& router, time_point now)
{
    if (!router.options.mechanisms.view_lease || !has_peers(router.view))
    {
        return true;
    }
    const time_point heard =
        std::max(router.last_heard.value_or(router.woken), router.woken);
    if (now - heard > router.options.alone_after)
    {
        return true;
    }
    const bool holds_lease = router.last_heard && *router.last_heard > router.woken &&
                             now - *router.last_heard <= router.options.view_lease;
    return holds_lease && !is_behind(router);
}

void tick(flow_router& router, wall_time wall, time_point now, action_list& actions)
{
    constexpr std::size_t swept_places = 4096;
    observe(router, now);
    router.wall_at_origin =
        wall - std::chrono::duration_cast<wall_time::duration>(now.time_since_epoch());
    switch_generations(router, now);
    replicate(router, now, actions);
    hand_over(router, now, actions);
    sweep_flows(router.flows, swept_places, router.options.idle_timeout, now);
}

} // namespace kumquatpath
