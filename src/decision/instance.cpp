#include "instance_detail.hpp"

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The time that peers and the fabric get to hear that an instance is leaving.
constexpr duration leaving_notice = std::chrono::milliseconds(4000);
/// A graceful stop waits at most this long for the roster to go on without this instance.
constexpr duration longest_leaving = std::chrono::seconds(10);
/// Places of the table of unanswered requests that are looked at in one tick.
constexpr std::size_t expiry_steps = 4096;

flow_router_options router_options(const instance_options& options)
{
    flow_router_options chosen = options.router;
    chosen.self = options.self.instance;
    return chosen;
}

heartbeat make_heartbeat(instance_state& state, time_point now)
{
    heartbeat message;
    message.generation = state.in_force ? state.in_force->generation : generation{};
    message.switched = state.router.switched;
    message.roster = announced_version(state.roster);
    message.members = take_digests(state.members);
    message.usages = usages(state.admission, now);
    return message;
}

void send_heartbeats(instance_state& state, time_point now, action_list& actions)
{
    std::vector<instance_id> receivers;
    if (!advance_membership(state.members, now, receivers))
    {
        return;
    }
    append_fellow_holders(state, receivers);
    const heartbeat common = make_heartbeat(state, now);
    for (const instance_id each : receivers)
    {
        heartbeat message = common;
        if (const member_digest* const rumour = rumour_about(state.members, each))
        {
            message.members.push_back(*rumour);
        }
        actions.push_back(send_to_peer{.peer = each, .message = std::move(message)});
    }
}

/// Tells the other duties of a view that has changed.
void spread_view(instance_state& state, time_point now, action_list& actions)
{
    if (state.view_version == state.members.version)
    {
        return;
    }
    state.view_version = state.members.version;
    const member_view view = view_of(state.members);
    adopt_view(state.router, view, now, actions);
    note_members(state.admission, view, now);
}

/// Tells the peers of a graceful stop once this instance may give up its roles.
void tell_leaving(instance_state& state, time_point now)
{
    if (!state.is_leaving || state.leaving_told ||
        may_hold_advance_votes(state.submissions, state.roster, now))
    {
        return;
    }
    state.leaving_told = now;
    announce_leaving(state.members, now);
}

void expire(instance_state& state, time_point now)
{
    std::vector<inflight_request> expired;
    expire_inflight(state.inflight, now, expiry_steps, expired);
    for (const inflight_request& each : expired)
    {
        const duration latency = now - each.sent_at;
        note_finished(state.admission, each.work, request_end::timed_out, latency, now);
        state.finished.push_back({.request = each,
                                  .outcome = request_outcome::unknown,
                                  .has_timed_out = true,
                                  .latency = latency});
    }
}

} // namespace

instance_state make_instance(const instance_options& options, time_point now)
{
    const instance_id self = options.self.instance;
    const lease_token token{mix(self.value, options.self.incarnation.value)};
    return {.options = options,
            .members = make_membership(options.self, options.membership),
            .router = make_flow_router(router_options(options)),
            .inflight = make_inflight_table(options.most_inflight),
            .roster = start_roster_view(options.roster, self, now),
            .leader = start_roster_leader(options.leader, token),
            .submissions = {.options = options.submissions}};
}

bool may_claim(const instance_state& state, time_point now)
{
    // A holder that may have voted in advance before it restarted grants little until
    // then.
    return may_decide(state.roster, now) && remembers_advance_votes(state.roster, now);
}

bool adopt_configuration(instance_state& state, std::shared_ptr<const configuration> next,
                         wall_time wall, time_point now)
{
    const bool is_newer =
        !state.in_force || next->generation > state.in_force->generation;
    if (!is_newer)
    {
        return false;
    }
    auto plan = plan_placements(*next, state.router.plan.get(), wall);
    adopt_plan(state.router, std::move(plan), initial_switch(*next, wall), now);
    configure(state.admission, *next);
    state.in_force = std::move(next);
    return true;
}

std::optional<instance_id> newer_configuration_at(const instance_state& state)
{
    const generation own = state.in_force ? state.in_force->generation : generation{};
    if (state.newest_heard <= own)
    {
        return std::nullopt;
    }
    return state.newest_holder;
}

void begin_leaving(instance_state& state, time_point now)
{
    state.is_leaving = true;
    state.leaving_since = now;
    stop_asking_in_advance(state.submissions, now);
}

bool has_left(const instance_state& state, time_point now)
{
    if (!state.leaving_told)
    {
        return false;
    }
    const duration told_for = now - *state.leaving_told;
    const bool is_idle = state.router.outbox.empty() && state.inflight.used == 0;
    // The vote of a holder is missed less once the roster has gone on without it; while
    // the platform is away that does not happen, so the wait is bounded.
    const bool is_free = may_leave(state.roster, now) || told_for >= longest_leaving;
    return is_idle && is_free && told_for >= leaving_notice;
}

void tick(instance_state& state, wall_time wall, time_point now, action_list& actions)
{
    expire(state, now);
    tell_leaving(state, now);
    send_heartbeats(state, now, actions);
    spread_view(state, now, actions);
    tick(state.router, wall, now, actions);
    tick_claims(state, now, actions);
}

} // namespace kumquatpath
