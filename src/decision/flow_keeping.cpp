#include "flow_router_detail.hpp"

#include <algorithm>
#include <tuple>

namespace kumquatpath
{
namespace
{

using namespace detail;

instance_id other_keeper(const flow_router& router, const keeper_group& group)
{
    return group.now.first == router.options.self ? group.now.replica : group.now.first;
}

bool keeps(const flow_router& router, const keeper_group& group)
{
    const instance_id self = router.options.self;
    return group.now.first == self || group.now.replica == self;
}

/// Whether \p from knows where a flow of the group rests, and does not only remember it.
bool knows(const keeper_group& group, instance_id from)
{
    return from == group.now.first || from == group.now.replica || from == group.former;
}

/// Appends \p key's entry for the other keeper of its flow.
void address(const flow_router& router, flow_key key, target_id target,
             std::vector<addressed_entry>& entries)
{
    const service_placement* placement = find_placement(router, key.service);
    if (placement == nullptr)
    {
        return;
    }
    const keeper_group& group = router.groups[group_of_flow(*placement, key)];
    const instance_id to = other_keeper(router, group);
    if (to != instance_id{} && to != router.options.self)
    {
        entries.push_back({to, key.service, {key.flow, target}});
    }
}

/// Sets the flow's target unless a better source has told it already.
void learn(flow_router& router, flow_key key, target_id target, flow_role role,
           bool is_tentative, time_point now)
{
    flow_entry* entry = insert_flow(router.flows, key);
    if (entry == nullptr)
    {
        ++router.counts.entries_refused;
        return;
    }
    const bool is_new = entry->role == flow_role::none;
    entry->role = std::max(entry->role, role);
    if (is_new || (entry->is_tentative && !is_tentative))
    {
        entry->target = target;
        entry->seen = in_flow_ticks(now);
        entry->is_tentative = is_tentative;
        // Whoever told it holds it too.
        entry->is_replicated = !is_tentative;
    }
}

/// Points the flow at the next target of its slot's history. Returns false when every one
/// has said that it doesn't know the flow.
bool try_next_target(flow_router& router, const service_placement& placement,
                     flow_key key, target_id refused_by, time_point now)
{
    const slot_index slot = slot_of(key.flow, placement.slot_count);
    const std::vector<target_id> history =
        history_of(placement, slot, wall_at(router, now));
    const auto at = std::ranges::find(history, refused_by);
    flow_entry* entry = insert_flow(router.flows, key);
    if (entry == nullptr)
    {
        return false;
    }
    entry->role = flow_role::kept;
    ++entry->resets;
    if (at == history.end() || entry->resets >= history.size())
    {
        erase_flow(router.flows, key);
        return false;
    }
    entry->target = at + 1 == history.end() ? history.front() : *(at + 1);
    entry->seen = in_flow_ticks(now);
    entry->is_tentative = true;
    return true;
}

/// Collects the flows that have lasted and that their replica does not know.
void copy_lasting_flows(flow_router& router, time_point now,
                        std::vector<addressed_entry>& entries)
{
    while (!router.unreplicated.empty() &&
           now - router.unreplicated.front().listed >= router.options.replication_delay)
    {
        const flow_key key = router.unreplicated.front().key;
        flow_entry* entry = find_flow(router.flows, key);
        const bool is_wanted =
            entry != nullptr && !entry->is_tentative && !entry->is_replicated;
        if (is_wanted && !take_tokens(router.replication_budget, entry_bytes, now))
        {
            return;
        }
        router.unreplicated.pop_front();
        if (is_wanted)
        {
            entry->is_replicated = true;
            address(router, key, entry->target, entries);
        }
    }
}

} // namespace

namespace detail
{

const service_placement* find_placement(const flow_router& router, service_id service)
{
    if (router.plan == nullptr)
    {
        return nullptr;
    }
    const auto found = router.plan->services.find(service);
    return found == router.plan->services.end() ? nullptr : found->second.get();
}

std::uint16_t group_of_flow(const service_placement& placement, flow_key key)
{
    return group_of(placement.service, slot_of(key.flow, placement.slot_count));
}

bool take_tokens(send_allowance& bucket, double amount, time_point now)
{
    const double seconds = std::chrono::duration<double>(now - bucket.filled).count();
    bucket.tokens = std::min(bucket.burst, bucket.tokens + seconds * bucket.rate);
    bucket.filled = now;
    if (bucket.tokens < amount)
    {
        return false;
    }
    bucket.tokens -= amount;
    return true;
}

void queue_replication(flow_router& router, const flow_entry& entry, time_point now)
{
    if (router.options.mechanisms.replica &&
        router.unreplicated.size() < router.options.most_flows)
    {
        router.unreplicated.push_back({{entry.service, entry.flow}, now});
    }
}

void forget_closed(flow_router& router, flow_entry& entry)
{
    const flow_key key{entry.service, entry.flow};
    if (entry.role == flow_role::kept && entry.is_replicated &&
        router.closed.size() < router.options.most_flows)
    {
        router.closed.push_back(key);
    }
    erase_flow(router.flows, key);
}

void replicate(flow_router& router, time_point now, action_list& actions)
{
    if (now - router.replicated < router.options.replication_interval)
    {
        return;
    }
    router.replicated = now;
    std::vector<addressed_entry> entries;
    copy_lasting_flows(router, now, entries);
    while (!router.closed.empty() &&
           take_tokens(router.replication_budget, entry_bytes, now))
    {
        address(router, router.closed.front(), {}, entries);
        router.closed.pop_front();
    }
    send_listings(entries, actions);
}

void send_listings(std::vector<addressed_entry>& entries, action_list& actions)
{
    // A listing of this many entries fits in one datagram.
    constexpr std::size_t most_entries = 100;
    std::ranges::stable_sort(entries, {},
                             [](const addressed_entry& each)
                             { return std::tuple(each.to, each.service); });
    flow_listing* open = nullptr;
    const addressed_entry* last = nullptr;
    for (const addressed_entry& each : entries)
    {
        if (open == nullptr || last->to != each.to || last->service != each.service ||
            open->entries.size() == most_entries)
        {
            actions.emplace_back(
                send_to_peer{each.to, flow_listing{.service = each.service}});
            auto& message = std::get<send_to_peer>(actions.back()).message;
            open = &std::get<flow_listing>(message);
        }
        open->entries.push_back(each.entry);
        last = &each;
    }
}

} // namespace detail

bool take_reset(flow_router& router, flow_key key, target_id target, time_point now)
{
    observe(router, now);
    const service_placement* placement = find_placement(router, key.service);
    if (!router.options.mechanisms.second_line || placement == nullptr)
    {
        return false;
    }
    flow_entry* entry = find_flow(router.flows, key);
    if (entry != nullptr && entry->role == flow_role::cached)
    {
        // The keeper knows better, and sees the next copy of the packet.
        erase_flow(router.flows, key);
        ++router.counts.resets_taken;
        return true;
    }
    if (entry != nullptr && !entry->is_tentative)
    {
        return false;
    }
    const slot_index slot = slot_of(key.flow, placement->slot_count);
    const bool is_moved =
        look_up(*placement, slot, wall_at(router, now), router.switched).is_moved;
    const bool is_taken = is_moved ? try_next_target(router, *placement, key, target, now)
                                   : !is_certain(router, now);
    router.counts.resets_taken += is_taken ? 1U : 0U;
    return is_taken;
}

void handle_hint(flow_router& router, instance_id from, const flow_hint& hint,
                 time_point now)
{
    observe(router, now);
    const service_placement* placement = find_placement(router, hint.service);
    if (placement == nullptr || !holds_target(*placement, hint.target))
    {
        return;
    }
    const flow_key key{hint.service, hint.flow};
    const keeper_group& group = router.groups[group_of_flow(*placement, key)];
    const bool is_kept = keeps(router, group);
    // Copies never take the last quarter of the table from the flows kept here.
    if (is_kept || router.flows.size < router.flows.most / 4 * 3)
    {
        learn(router, key, hint.target, is_kept ? flow_role::kept : flow_role::cached,
              !knows(group, from), now);
    }
}

void handle_listing(flow_router& router, instance_id from, const flow_listing& listing,
                    time_point now)
{
    observe(router, now);
    const service_placement* placement = find_placement(router, listing.service);
    for (const flow_listing::entry& each : listing.entries)
    {
        const flow_key key{listing.service, each.flow};
        if (each.target == target_id{})
        {
            erase_flow(router.flows, key);
        }
        else if (placement != nullptr && holds_target(*placement, each.target))
        {
            const keeper_group& group = router.groups[group_of_flow(*placement, key)];
            learn(router, key, each.target, flow_role::kept, !knows(group, from), now);
        }
    }
    if (listing.complete && listing.group < keeper_group_count)
    {
        router.groups[listing.group].is_complete = true;
    }
}

} // namespace kumquatpath
