#ifndef KUMQUATPATH_DECISION_FLOW_ROUTER_HPP
#define KUMQUATPATH_DECISION_FLOW_ROUTER_HPP

/// \file
/// Sends every packet of a flow to the target that the flow was opened on, whichever
/// instance receives it.
///
/// Guarantees, while a flow is younger than its service's flow_lifetime: a change of
/// configuration or of instances that was announced moves no open flow, and a packet that
/// cannot be placed with certainty goes to the keeper of its slot or is dropped for the
/// caller to send again; it is never placed afresh by guess. A flow that was opened in a
/// moved slot may lose its place only if both of its keepers go before either has told
/// another instance; the reset of the wrong target then leads to the right one.
///
/// One flow_router belongs to one thread. Every function takes the present time and
/// appends what is to be done to the caller's list of actions.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/flow_placement.hpp>
#include <kumquatpath/decision/flow_table.hpp>
#include <kumquatpath/decision/keeper_groups.hpp>
#include <kumquatpath/decision/member_view.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace kumquatpath
{

/// The mechanisms that keep flows in place. A bench or a test takes one away to show what
/// it is worth; everything else leaves them all in use.
struct flow_mechanisms
{
    bool two_phase_switch = true;
    bool view_lease = true;
    bool hand_over = true;
    bool replica = true;
    bool second_line = true;
};

/// Options of make_flow_router().
struct flow_router_options
{
    instance_id self;
    /// The most flows that are held. A full table refuses a new flow of a moved slot as
    /// "not run", and keeps no copies of what other keepers hold.
    std::size_t most_flows = std::size_t{3} << 17U;
    /// How long new flows follow the old placement once a generation is known here.
    duration switch_delay = std::chrono::milliseconds(1750);
    /// How long an instance trusts its view of the fleet without a sign from any peer.
    duration view_lease = std::chrono::seconds(1);
    /// How long an instance without a sign from any peer waits before it serves alone.
    duration alone_after = std::chrono::seconds(3);
    /// How long neither signs from peers nor new flows count after a pause: they may have
    /// waited in a queue.
    duration wake_guard = std::chrono::milliseconds(500);
    /// The age at which a listed flow is copied to the replica; shorter flows never are.
    duration replication_delay = std::chrono::milliseconds(200);
    /// The time between two batches for replicas: a message costs more than its entries.
    duration replication_interval = std::chrono::milliseconds(500);
    /// How long instances may disagree on who is there. For as long, a new keeper leaves
    /// new flows to the former one; for twice as long, it asks the former one about flows
    /// that it does not hold. An instance that leaves must stay for longer than that. A
    /// keeper whose predecessor is dead drops packets of flows that it does not hold for
    /// as long, while the other instances tell it what they remember.
    duration view_convergence = std::chrono::milliseconds(1500);
    /// How long an opener remembers flows for the keeper that it passed them to.
    duration opener_memory = std::chrono::seconds(8);
    /// The most flows that an opener remembers.
    std::size_t most_remembered_opens = 16384;
    /// The time without a packet after which a flow is forgotten.
    duration idle_timeout = std::chrono::minutes(30);
    /// Hints sent to other instances, at most, each second.
    std::uint32_t hints_per_second = 10;
    /// Bytes of listings and requests for a hand-over, at most, each second; a short one
    /// may take hand_over_burst at once.
    std::uint32_t hand_over_rate = 1500;
    std::uint32_t hand_over_burst = 9000;
    /// Bytes of entries for replicas, at most, each second. Above it, flows are copied
    /// later, and those that are over by then not at all.
    std::uint32_t replication_rate = 2400;
    flow_mechanisms mechanisms;
};

/// What a router counts; only ever grows.
struct flow_router_counts
{
    std::uint64_t opened = 0;
    std::uint64_t listed = 0;
    std::uint64_t passed_on = 0;
    std::uint64_t placed = 0;
    std::uint64_t dropped_uncertain = 0;
    std::uint64_t resets_taken = 0;
    std::uint64_t entries_refused = 0;
};

/// Allows a rate of units a second, and a burst.
struct send_allowance
{
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    time_point filled{};
};

/// A generation that is known here and does not yet take new flows.
struct announced_generation
{
    kumquatpath::generation generation;
    time_point learned{};
};

/// A listed flow whose other keeper has not been told yet.
struct unreplicated_flow
{
    flow_key key;
    time_point listed{};
};

/// A flow that was passed to its keeper to be opened, and where it must have gone.
struct remembered_open
{
    flow_key key;
    target_id target;
    time_point passed{};
};

/// A new keeper that waits for the listed flows of a group.
struct waiting_request
{
    instance_id from;
    std::uint16_t group = 0;
    time_point received{};
};

/// A part of a hand-over that waits for its turn.
struct queued_listing
{
    instance_id to;
    flow_listing listing;
};

/// The state of one instance's routing; made by make_flow_router().
struct flow_router
{
    flow_router_options options;
    std::shared_ptr<const placement_plan> plan;
    member_view view;
    keeper_groups groups{};
    flow_table flows;
    /// The newest generation whose placement takes new flows here.
    generation switched;
    std::vector<announced_generation> announced;
    /// The newest generation that a peer has switched to.
    generation newest_switched;
    /// What the wall clock showed at the start of the monotonic time line.
    wall_time wall_at_origin{};
    std::optional<time_point> last_event;
    std::optional<time_point> last_heard;
    /// When the process started, or last went on after a pause.
    time_point woken{};
    bool was_paused = false;
    std::deque<unreplicated_flow> unreplicated;
    /// When the last batch for replicas was sent.
    time_point replicated{};
    std::deque<flow_key> closed;
    std::deque<remembered_open> opens;
    std::vector<waiting_request> requests;
    std::deque<queued_listing> outbox;
    send_allowance hint_budget;
    send_allowance hand_over_budget;
    send_allowance replication_budget;
    flow_router_counts counts;
};

/// A caller's packet and who handed it in.
struct routed_packet
{
    const packet_header& header;
    payload_view payload;
    /// The peer that passed the packet on; 0 when it came from the caller.
    instance_id from;
};

/// Returns a router that knows neither a configuration nor a peer.
flow_router make_flow_router(const flow_router_options& options);

/// Takes \p plan in as the newest configuration. \p initial is initial_switch() of the
/// same configuration; it counts only for the first plan. An older plan than the one that
/// is held is ignored and breaks invariant::generation_never_reverts.
void adopt_plan(flow_router& router, std::shared_ptr<const placement_plan> plan,
                generation initial, time_point now);

/// Takes a new member view in, and tells new keepers what this instance remembers.
void adopt_view(flow_router& router, const member_view& view, time_point now,
                action_list& actions);

/// Notes a sign of life of a peer, and the generation that takes new flows there.
void note_peer(flow_router& router, generation switched_there, time_point now);

/// Sends a caller's packet to its target, to its keeper, or drops it. A packet of a known
/// flow, or of a slot that has not moved, costs no allocation.
void route_packet(flow_router& router, const routed_packet& packet, time_point now,
                  action_list& actions);

/// Notes an answer of \p target: the flow rests there.
void note_answer(flow_router& router, flow_key key, target_id target, time_point now);

/// Notes that \p target does not know the flow. Returns true if the caller must not learn
/// of it, since the next copy of the packet goes to another target.
bool take_reset(flow_router& router, flow_key key, target_id target, time_point now);

/// Takes in where a flow rests.
void handle_hint(flow_router& router, instance_id from, const flow_hint& hint,
                 time_point now);

/// Takes in the flows that another instance listed.
void handle_listing(flow_router& router, instance_id from, const flow_listing& listing,
                    time_point now);

/// Notes that \p from wants the listed flows of a group; ticks answer it.
void handle_listing_request(flow_router& router, instance_id from,
                            const listing_request& request, time_point now);

/// Does what is due. Call it every 100 ms or so; \p wall is the present wall time.
void tick(flow_router& router, wall_time wall, time_point now, action_list& actions);

/// Tells whether the instance may place a packet by its own configuration and view: false
/// after a pause or a cut, and when a peer has switched to a generation not known here.
bool is_certain(const flow_router& router, time_point now);

/// Returns how many flows that are known here rest on \p target. Cost: the whole table.
std::size_t flows_on(const flow_router& router, target_id target);

} // namespace kumquatpath

#endif
