#include "flow_router_detail.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace kumquatpath
{
namespace
{

using namespace detail;

/// What a message costs besides its entries, and each entry, in encoded bytes.
constexpr double message_bytes = 40;
/// A listing of this many entries fits in one datagram.
constexpr std::size_t most_entries = 100;
/// The most flows that are told to new keepers at one change of view.
constexpr std::size_t most_told = 2048;
/// Longer than a large hand-over takes, since asking again takes from the same budget.
constexpr std::chrono::seconds ask_again_after{30};
/// A former keeper that has not told everything by then will not.
constexpr std::chrono::seconds longest_hand_over{120};

using group_firsts = std::array<instance_id, keeper_group_count>;

group_firsts firsts_of(const keeper_groups& groups)
{
    group_firsts firsts;
    std::ranges::transform(groups, firsts.begin(),
                           [](const keeper_group& each) { return each.now.first; });
    return firsts;
}

bool is_there(const member_view& view, instance_id id)
{
    return std::ranges::any_of(
        view.members, [id](const member& each)
        { return each.instance == id && each.state != member_state::dead; });
}

/// Collects what this instance remembers of flows whose keeper has gone.
class memory_collector
{
public:
    memory_collector(flow_router& router, const group_firsts& before, time_point now)
        : router_(router), before_(before), now_(now)
    {
    }

    void add(flow_key key, target_id target)
    {
        const service_placement* placement = find_placement(router_, key.service);
        if (placement == nullptr || entries_.size() >= most_told)
        {
            return;
        }
        const std::uint16_t group = group_of_flow(*placement, key);
        const instance_id next = router_.groups[group].now.first;
        const instance_id gone = before_[group];
        if (gone == instance_id{} || gone == next || is_there(router_.view, gone))
        {
            return;
        }
        entries_.push_back({next, key.service, {key.flow, target}});
    }

    /// Sends what was collected; what falls to this instance itself is taken in.
    void finish(action_list& actions)
    {
        const instance_id self = router_.options.self;
        for (const addressed_entry& each : entries_)
        {
            if (each.to == self)
            {
                handle_listing(router_, {}, {each.service, {each.entry}}, now_);
            }
        }
        std::erase_if(entries_, [self](const addressed_entry& each)
                      { return each.to == self || each.to == instance_id{}; });
        send_listings(entries_, actions);
    }

private:
    flow_router& router_;
    const group_firsts& before_;
    time_point now_;
    std::vector<addressed_entry> entries_;
};

void tell_new_keepers(flow_router& router, const group_firsts& before, time_point now,
                      action_list& actions)
{
    memory_collector memory(router, before, now);
    for (const remembered_open& open : router.opens)
    {
        memory.add(open.key, open.target);
    }
    for (const flow_entry& entry : router.flows.places)
    {
        if (entry.role == flow_role::cached)
        {
            memory.add({entry.service, entry.flow}, entry.target);
        }
    }
    memory.finish(actions);
}

void forget_old_opens(flow_router& router, time_point now)
{
    while (!router.opens.empty() &&
           now - router.opens.front().passed > router.options.opener_memory)
    {
        router.opens.pop_front();
    }
}

void ask_for_groups(flow_router& router, time_point now, action_list& actions)
{
    for (std::uint16_t i = 0; i < keeper_group_count; ++i)
    {
        keeper_group& group = router.groups[i];
        group.is_complete = group.is_complete || now - group.gained > longest_hand_over;
        const bool was_asked =
            group.asked != time_point{} && now - group.asked < ask_again_after;
        if (group.is_complete || was_asked || group.former == instance_id{})
        {
            continue;
        }
        if (!take_tokens(router.hand_over_budget, message_bytes, now))
        {
            return;
        }
        group.asked = now;
        actions.emplace_back(send_to_peer{group.former, listing_request{.group = i}});
    }
}

/// Whether the listing of a group may still grow here, so that it is too early to answer.
bool must_wait(const flow_router& router, const waiting_request& request, time_point now)
{
    const keeper_group& group = router.groups[request.group];
    const duration age = now - request.received;
    const bool waits_itself = !group.is_complete && group.former != request.from;
    // An instance that is asked before it knows that it became a keeper knows nothing
    // yet.
    const bool has_kept = group.gained != time_point{};
    const bool is_early = !has_kept && age < 2 * router.options.view_convergence;
    // Instances that do not know of the new keeper yet still open flows here.
    return waits_itself || is_early || age < router.options.view_convergence;
}

/// The listed flows of one group, by service.
using group_listing = std::map<service_id, std::vector<flow_listing::entry>>;

std::vector<group_listing> list_groups(const flow_router& router)
{
    std::vector<group_listing> groups(keeper_group_count);
    for (const flow_entry& entry : router.flows.places)
    {
        if (entry.role != flow_role::kept || entry.is_tentative)
        {
            continue;
        }
        const service_placement* placement = find_placement(router, entry.service);
        if (placement != nullptr)
        {
            const auto group = group_of_flow(*placement, {entry.service, entry.flow});
            groups[group][entry.service].push_back({entry.flow, entry.target});
        }
    }
    return groups;
}

void queue_listing(flow_router& router, instance_id to, std::uint16_t group,
                   const group_listing& listed)
{
    for (const auto& [service, entries] : listed)
    {
        for (std::size_t from = 0; from < entries.size(); from += most_entries)
        {
            const std::size_t until = std::min(entries.size(), from + most_entries);
            const auto begin = entries.begin();
            router.outbox.push_back(
                {to,
                 {.service = service,
                  .entries = {begin + static_cast<std::ptrdiff_t>(from),
                              begin + static_cast<std::ptrdiff_t>(until)},
                  .group = group}});
        }
    }
    router.outbox.push_back({to, {.complete = true, .group = group}});
}

void answer_requests(flow_router& router, time_point now)
{
    // One pass over the table serves every request that waits.
    const auto can_answer = [&router, now](const waiting_request& request)
    {
        return !must_wait(router, request, now);
    };
    if (!router.outbox.empty() || std::ranges::none_of(router.requests, can_answer))
    {
        return;
    }
    const std::vector<group_listing> groups = list_groups(router);
    for (const waiting_request& request : router.requests)
    {
        if (can_answer(request))
        {
            queue_listing(router, request.from, request.group, groups[request.group]);
        }
    }
    std::erase_if(router.requests, can_answer);
}

void send_queued(flow_router& router, time_point now, action_list& actions)
{
    while (!router.outbox.empty())
    {
        queued_listing& next = router.outbox.front();
        const auto count = static_cast<double>(next.listing.entries.size());
        if (!take_tokens(router.hand_over_budget, message_bytes + entry_bytes * count,
                         now))
        {
            return;
        }
        actions.emplace_back(send_to_peer{next.to, std::move(next.listing)});
        router.outbox.pop_front();
    }
}

send_allowance make_bucket(std::uint32_t rate, std::uint32_t burst)
{
    return {.rate = static_cast<double>(rate),
            .burst = static_cast<double>(burst),
            .tokens = static_cast<double>(burst)};
}

} // namespace

namespace detail
{

void hand_over(flow_router& router, time_point now, action_list& actions)
{
    forget_old_opens(router, now);
    if (router.options.mechanisms.hand_over)
    {
        // Answers come first, or instances that start together would only ever ask.
        answer_requests(router, now);
        send_queued(router, now, actions);
        ask_for_groups(router, now, actions);
    }
}

} // namespace detail

flow_router make_flow_router(const flow_router_options& options)
{
    flow_router router;
    router.options = options;
    router.view.self = options.self;
    router.flows = make_flow_table(options.most_flows);
    router.hint_budget = make_bucket(options.hints_per_second, options.hints_per_second);
    router.hand_over_budget =
        make_bucket(options.hand_over_rate, options.hand_over_burst);
    router.replication_budget =
        make_bucket(options.replication_rate, options.replication_rate);
    return router;
}

void adopt_view(flow_router& router, const member_view& view, time_point now,
                action_list& actions)
{
    observe(router, now);
    const group_firsts before = firsts_of(router.groups);
    router.view = view;
    adopt_keepers(router.groups, view, now);
    if (!router.options.mechanisms.hand_over || before == firsts_of(router.groups))
    {
        return;
    }
    tell_new_keepers(router, before, now, actions);
    // What has just been listed may concern keepers that have changed, so it is told now.
    router.replicated = {};
    for (unreplicated_flow& each : router.unreplicated)
    {
        each.listed = now - router.options.replication_delay;
    }
}

void handle_listing_request(flow_router& router, instance_id from,
                            const listing_request& request, time_point now)
{
    observe(router, now);
    if (request.group >= keeper_group_count ||
        router.requests.size() >= 2 * std::size_t{keeper_group_count})
    {
        return;
    }
    keeper_group& group = router.groups[request.group];
    if (!group.is_complete && group.former == from &&
        group.former_replica != instance_id{})
    {
        // Two new keepers that wait for each other turn to an older one.
        group.former = std::exchange(group.former_replica, {});
        group.asked = {};
    }
    const bool is_queued = std::ranges::any_of(
        router.outbox, [&](const queued_listing& each)
        { return each.to == from && each.listing.group == request.group; });
    const bool is_waiting =
        std::ranges::any_of(router.requests, [&](const waiting_request& each)
                            { return each.from == from && each.group == request.group; });
    if (!is_queued && !is_waiting)
    {
        router.requests.push_back({from, request.group, now});
    }
}

} // namespace kumquatpath
