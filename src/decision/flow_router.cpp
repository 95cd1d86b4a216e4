#include "flow_router_detail.hpp"

#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/decision/invariant.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

using namespace detail;

/// A packet passes at most this many instances after the one that received it.
constexpr std::uint8_t most_hops = 3;

/// One packet while it is decided.
struct decision
{
    flow_router& router;
    const routed_packet& packet;
    const service_placement& placement;
    slot_index slot;
    slot_lookup rest;
    time_point now;
    action_list& actions;

    flow_key key() const
    {
        return {packet.header.service, packet.header.flow};
    }

    const keeper_group& group() const
    {
        return router.groups[group_of(placement.service, slot)];
    }

    instance_id self() const
    {
        return router.options.self;
    }

    bool is_open() const
    {
        return packet.header.kind == packet_kind::open;
    }
};

void refuse(const decision& at, refusal_reason reason)
{
    packet_header header = at.packet.header;
    header.kind = packet_kind::refusal;
    header.outcome = request_outcome::not_run;
    header.reason = reason;
    at.actions.emplace_back(send_to_caller{.header = header});
}

void drop(const decision& at, drop_reason reason)
{
    at.actions.emplace_back(drop_packet{reason});
}

void send(const decision& at, target_id target)
{
    if (target == target_id{})
    {
        at.is_open() ? refuse(at, refusal_reason::no_target)
                     : drop(at, drop_reason::no_target);
        return;
    }
    if (!assert_invariant(invariant::packet_stays_in_its_service,
                          holds_target(at.placement, target)))
    {
        drop(at, drop_reason::no_target);
        return;
    }
    ++at.router.counts.placed;
    at.actions.emplace_back(send_to_target{target, at.packet.header, at.packet.payload});
}

/// Sends a packet of a flow that this instance holds.
void send_known(const decision& at, flow_entry& entry)
{
    entry.seen = in_flow_ticks(at.now);
    send(at, entry.target);
    if (at.packet.header.kind == packet_kind::close)
    {
        forget_closed(at.router, entry);
    }
}

void send_new_flow(const decision& at)
{
    ++at.router.counts.opened;
    const bool is_in_force = at.router.switched >= at.router.plan->generation;
    const bool is_active =
        std::ranges::binary_search(at.placement.layers.back().targets, at.rest.current);
    assert_invariant(invariant::draining_target_gets_no_new_flow,
                     !is_in_force || is_active || at.rest.current == target_id{});
    send(at, at.rest.current);
}

bool pass(const decision& at, instance_id to)
{
    const bool goes_back = to == at.packet.from || to == at.self();
    if (to == instance_id{} || goes_back || at.packet.header.hops >= most_hops)
    {
        return false;
    }
    packet_header header = at.packet.header;
    ++header.hops;
    ++at.router.counts.passed_on;
    at.actions.emplace_back(pass_to_peer{to, header, at.packet.payload});
    return true;
}

/// Remembers an open that its keeper decides, so that the keeper's death loses nothing.
void remember_open(const decision& at)
{
    flow_router& router = at.router;
    // The keeper's choice is known only while no change is under way.
    if (!router.announced.empty() || at.packet.from != instance_id{})
    {
        return;
    }
    if (router.opens.size() >= router.options.most_remembered_opens)
    {
        router.opens.pop_front();
    }
    router.opens.push_back({at.key(), at.rest.current, at.now});
}

/// Lets the other keeper know of a new flow: later if the flow lasts, and at once where
/// packets are looked for first.
void share_listing(const decision& at, flow_entry& entry)
{
    const instance_id first = at.group().now.first;
    if (first == at.self() || first == instance_id{})
    {
        queue_replication(at.router, entry, at.now);
        return;
    }
    entry.is_replicated = true;
    at.actions.emplace_back(
        send_to_peer{first, flow_listing{.service = entry.service,
                                         .entries = {{entry.flow, entry.target}}}});
}

/// Decides a new flow of a moved slot here, and lists it.
void list_new_flow(const decision& at)
{
    if (at.rest.current == target_id{})
    {
        refuse(at, refusal_reason::no_target);
        return;
    }
    flow_entry* entry = insert_flow(at.router.flows, at.key());
    if (entry == nullptr)
    {
        refuse(at, refusal_reason::table_full);
        return;
    }
    entry->target = at.rest.current;
    entry->seen = in_flow_ticks(at.now);
    entry->role = flow_role::kept;
    ++at.router.counts.listed;
    share_listing(at, *entry);
    send_new_flow(at);
}

/// Whether others may still take the former keeper for the one that decides.
bool is_contested(const decision& at)
{
    const keeper_group& group = at.group();
    return at.router.options.mechanisms.hand_over && group.now.first == at.self() &&
           at.now - group.gained < at.router.options.view_convergence;
}

/// Whether the former keeper may still know flows that this one doesn't.
bool is_settled(const decision& at)
{
    const keeper_group& group = at.group();
    return group.is_complete &&
           at.now - group.gained >= 2 * at.router.options.view_convergence;
}

/// Whether other instances may still be telling this keeper what a dead one knew.
bool is_recovering(const decision& at)
{
    const keeper_group& group = at.group();
    const bool can_be_told = group.now.replica != instance_id{};
    return can_be_told && group.former == instance_id{} &&
           at.now - group.gained < at.router.options.view_convergence;
}

void drop_uncertain(const decision& at)
{
    ++at.router.counts.dropped_uncertain;
    drop(at, drop_reason::no_keeper);
}

/// Answers for a packet of an older flow that this instance does not hold: where it is
/// not certain, the next one that may know is asked.
void send_unlisted(const decision& at)
{
    const keeper_group& group = at.group();
    const bool is_first = group.now.first == at.self();
    const bool hands_over = at.router.options.mechanisms.hand_over;
    const bool may_miss_flows = hands_over && !is_settled(at);
    const bool has_former = group.former != instance_id{};
    if (may_miss_flows && pass(at, group.former))
    {
        return;
    }
    // A former keeper that handed the packet in has looked in its own list.
    const bool was_asked = is_first && group.former == at.packet.from;
    if (may_miss_flows && ((has_former && !was_asked) || (is_first && is_recovering(at))))
    {
        drop_uncertain(at);
        return;
    }
    if (pass(at, group.now.first))
    {
        return;
    }
    // Out of hops, or asked by the first keeper: only one that has kept the group knows.
    const bool has_kept = group.gained != time_point{};
    const bool may_answer = is_first || (has_kept && group.now.first == at.packet.from);
    may_answer ? send(at, at.rest.base) : drop_uncertain(at);
}

/// Decides a new flow of a moved slot, here or at the instance that decides for the slot.
void open_moved(const decision& at)
{
    const keeper_group& group = at.group();
    const bool leaves_it = is_contested(at) && pass(at, group.former);
    if (leaves_it || pass(at, group.now.first))
    {
        remember_open(at);
        return;
    }
    list_new_flow(at);
}

/// Decides a packet that this instance cannot place with certainty.
void decide_uncertain(const decision& at)
{
    const keeper_group& group = at.group();
    if (pass(at, group.now.first) || (!is_settled(at) && pass(at, group.former)) ||
        pass(at, group.now.replica))
    {
        return;
    }
    drop_uncertain(at);
}

void hint_sender(const decision& at, const flow_entry& entry)
{
    // Only a flow that comes back is worth a hint: most are over after one packet.
    const bool is_wanted = at.packet.from != instance_id{} && !at.is_open() &&
                           entry.role == flow_role::kept && !entry.is_tentative;
    if (is_wanted && take_tokens(at.router.hint_budget, 1, at.now))
    {
        at.actions.emplace_back(send_to_peer{
            at.packet.from, flow_hint{entry.service, entry.flow, entry.target}});
    }
}

/// Whether the packet may go straight to where \p entry says. The keeper has to see the
/// end of a flow, so a mere copy does not serve for that.
bool serves(const decision& at, const flow_entry& entry)
{
    return entry.role == flow_role::kept || at.packet.header.kind != packet_kind::close ||
           !at.rest.is_moved;
}

/// Whether a new flow may have waited in a queue while this process was paused. Its
/// caller has sent the packet again, and the flow may have been opened elsewhere since.
bool may_be_stale(const decision& at)
{
    const flow_router& router = at.router;
    return at.is_open() && router.was_paused && router.options.mechanisms.view_lease &&
           at.now - router.woken < router.options.wake_guard;
}

void decide(const decision& at)
{
    if (may_be_stale(at))
    {
        drop_uncertain(at);
        return;
    }
    flow_entry* entry = find_flow(at.router.flows, at.key());
    if (entry != nullptr && serves(at, *entry))
    {
        hint_sender(at, *entry);
        send_known(at, *entry);
        return;
    }
    if (!is_certain(at.router, at.now))
    {
        decide_uncertain(at);
        return;
    }
    if (!at.rest.is_moved)
    {
        at.is_open() ? send_new_flow(at) : send(at, at.rest.current);
        return;
    }
    at.is_open() ? open_moved(at) : send_unlisted(at);
}

} // namespace

void route_packet(flow_router& router, const routed_packet& packet, time_point now,
                  action_list& actions)
{
    observe(router, now);
    const packet_header& header = packet.header;
    const service_placement* placement = find_placement(router, header.service);
    if (placement == nullptr)
    {
        actions.emplace_back(drop_packet{drop_reason::unknown_service});
        return;
    }
    const slot_index slot = slot_of(header.flow, placement->slot_count);
    const slot_lookup rest =
        look_up(*placement, slot, wall_at(router, now), router.switched);
    decide({router, packet, *placement, slot, rest, now, actions});
}

void note_answer(flow_router& router, flow_key key, target_id target, time_point now)
{
    observe(router, now);
    flow_entry* entry = find_flow(router.flows, key);
    if (entry == nullptr)
    {
        return;
    }
    entry->seen = in_flow_ticks(now);
    if (entry->is_tentative && entry->target == target)
    {
        entry->is_tentative = false;
        queue_replication(router, *entry, now);
    }
}

std::size_t flows_on(const flow_router& router, target_id target)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        router.flows.places, [target](const flow_entry& entry)
        { return entry.role != flow_role::none && entry.target == target; }));
}

} // namespace kumquatpath
