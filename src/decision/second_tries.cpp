#include <kumquatpath/decision/second_tries.hpp>

#include <algorithm>
#include <numeric>

namespace kumquatpath
{
namespace
{

/// The quantiles of the measured times at which a second try is due: rarely for a target
/// without a sign of trouble, sooner for one with overdue openings.
constexpr double usual_quantile = 0.99;
constexpr double overdue_quantile = 0.95;
/// How often a target is selected for one second try until a suitable one is found.
constexpr int max_selections = 4;
/// No second try is sent sooner: a target's scheduling alone may take that long.
constexpr duration min_delay = std::chrono::milliseconds(10);

/// The budget holds the tokens of at most this many openings, and at least one token.
constexpr double budgeted_openings = 500;
/// The fabric may take this long to follow a change of the fleet, or to send flows back
/// after a rehash.
constexpr duration rehash_hold = std::chrono::seconds(5);
/// After an opening had to wait, no second try is sent for this long.
constexpr duration capacity_shortage_hold = std::chrono::seconds(1);

bool has_service(const routing_table& table, const endpoint& listener, service_id service)
{
    const route* const found = find_route(table, listener);
    return found != nullptr && std::any_of(found->services.begin(), found->services.end(),
                                           [&](const weighted_service& each)
                                           { return each.service == service; });
}

void remove_pending(second_tries& tries, std::uint64_t flow)
{
    const auto found = tries.pending.find(flow);
    if (found != tries.pending.end())
    {
        tries.due.erase({found->second.due, flow});
        tries.pending.erase(found);
    }
}

/// Adds the share of one opening to the budget of \p listener. Returns null if there are
/// too many listeners.
listener_second_tries* add_to_budget(second_tries& tries, const endpoint& listener)
{
    const std::uint64_t key = pack(listener);
    if (tries.listeners.size() >= max_listeners_with_second_tries &&
        !tries.listeners.contains(key))
    {
        return nullptr;
    }
    const double max_tokens = std::max(1.0, tries.share * budgeted_openings);
    const auto [found, is_new] = tries.listeners.try_emplace(
        key, listener_second_tries{.listener = listener, .tokens = max_tokens});
    listener_second_tries& entry = found->second;
    ++entry.openings;
    entry.tokens = std::min(max_tokens, entry.tokens + tries.share);
    return &entry;
}

bool has_overdue_openings(const flow_steering& steering,
                          const target_directory& directory, target_index target)
{
    return steering.selector.stats[target].overdue_openings > 0 ||
           is_data_centre_suspect(steering.selector,
                                  directory.targets[target].record.data_centre);
}

/// Returns the tracked flow whose opening is \p opening if a second try could still help
/// it: it is unanswered and was placed only once. Otherwise returns null.
tracked_flow* unanswered_flow(flow_steering& steering, const pending_second_try& opening)
{
    const auto found = steering.flows.find(opening.packet.flow.value);
    if (found == steering.flows.end())
    {
        return nullptr;
    }
    tracked_flow& flow = found->second;
    const bool is_unanswered = !flow.is_answered && !flow.is_ended &&
                               flow.placements == 1 && flow.placed_at == opening.sent_at;
    return is_unanswered ? &flow : nullptr;
}

/// Returns whether the target at \p index may get second tries: it is healthy and not
/// slow after its start.
bool is_suitable(const flow_steering& steering, const target_directory& directory,
                 target_index index, time_point now)
{
    const known_target& target = directory.targets[index];
    const target_stats& stats = steering.selector.stats[index];
    return takes_new_flows(target, now) && !is_warming_up(target, nullptr, now) &&
           !has_overdue_openings(steering, directory, index) && !stats.is_failing &&
           reports_against(stats, now) == 0;
}

/// A target, or the reason why there is none.
struct second_target
{
    const target_index* index = nullptr;
    second_try_withheld reason = second_try_withheld::no_target;
};

/// Selects another target for \p flow by the same decision as for any opening that may
/// wait. That decision may name a target that is only slightly doubted, so it is asked
/// again with other random bits.
second_target select_second_target(flow_steering& steering,
                                   const target_directory& directory,
                                   const tracked_flow& flow, time_point now)
{
    const target_index avoided = flow.target;
    for (int attempt = 0; attempt < max_selections; ++attempt)
    {
        steering.random = hash_pair(steering.random, flow.key.value);
        const target_index* const selected =
            select_target(steering.selector, directory,
                          {.service = directory.targets[flow.target].record.service,
                           .may_wait = true,
                           .avoided = &avoided,
                           .random = steering.random},
                          now);
        if (selected == nullptr)
        {
            return {.reason = second_try_withheld::capacity};
        }
        if (*selected != avoided && is_suitable(steering, directory, *selected, now))
        {
            return {.index = selected};
        }
    }
    return {};
}

/// Returns why the second try of \p opening is withheld before a target is selected, if
/// it is.
std::optional<second_try_withheld>
withheld_for(const second_tries& tries, const listener_second_tries& listener,
             flow_steering& steering, const target_directory& directory,
             const tracked_flow& flow, const pending_second_try& opening, time_point now)
{
    if (is_target_alive(steering, directory, flow))
    {
        return second_try_withheld::target_alive;
    }
    if (may_be_rehashing(tries, steering, opening.sent_at, now))
    {
        return second_try_withheld::rehash;
    }
    if (tries.capacity_short_at &&
        now < *tries.capacity_short_at + capacity_shortage_hold)
    {
        return second_try_withheld::capacity;
    }
    if (listener.tokens < 1)
    {
        return second_try_withheld::budget;
    }
    return std::nullopt;
}

void withhold(listener_second_tries& listener, second_try_withheld reason)
{
    ++listener.withheld[static_cast<std::size_t>(reason)];
}

/// Places the second try of \p opening unless it is withheld.
std::optional<second_try> send_second_try(second_tries& tries, flow_steering& steering,
                                          const routing_table& table,
                                          const target_directory& directory,
                                          pending_second_try& opening, time_point now)
{
    tracked_flow* const flow = unanswered_flow(steering, opening);
    if (flow == nullptr || !is_repeatable(table, opening.packet) ||
        !has_service(table, opening.packet.listener,
                     directory.targets[flow->target].record.service))
    {
        return std::nullopt;
    }
    listener_second_tries& listener = tries.listeners[pack(opening.packet.listener)];
    const auto reason =
        withheld_for(tries, listener, steering, directory, *flow, opening, now);
    if (reason)
    {
        withhold(listener, *reason);
        return std::nullopt;
    }
    const second_target selected = select_second_target(steering, directory, *flow, now);
    if (selected.index == nullptr)
    {
        withhold(listener, selected.reason);
        return std::nullopt;
    }
    const target_index first = flow->target;
    place_second_try(steering, directory, opening.packet.flow, *flow, *selected.index,
                     now);
    listener.tokens -= 1;
    ++listener.sent;
    const known_target& target = directory.targets[*selected.index];
    opening.second_target = target.record.key;
    return second_try{.packet = opening.packet,
                      .datagram = std::move(opening.datagram),
                      .source = opening.source,
                      .first_target = first,
                      .waited = now - opening.sent_at,
                      .decision = {.verdict = steering_verdict::forward,
                                   .target = *selected.index,
                                   .token = target.token,
                                   .is_placement = true}};
}

std::uint64_t signature_of(const fleet_peers& fleet, const routing_table* table,
                           time_point now)
{
    std::uint64_t signature = 0;
    for (const auto& [instance, peer] : fleet.peers)
    {
        // A large fleet hears its remote peers too rarely to tell when one falls silent.
        const bool is_counted =
            !is_large(fleet) || peer.data_centre == fleet.local_data_centre;
        if (is_counted && is_live(fleet, peer, now) && !peer.is_leaving)
        {
            // The order of the peers in the table is not stable, so the hashes are added.
            signature += hash_pair(instance.value, peer.incarnation);
        }
    }
    if (table != nullptr)
    {
        signature = std::accumulate(table->draining_instances.begin(),
                                    table->draining_instances.end(), signature,
                                    [](std::uint64_t sum, instance_id each)
                                    { return hash_pair(sum, each.value); });
    }
    return signature;
}

} // namespace

duration second_try_delay(const second_tries& tries, data_centre_id data_centre,
                          bool has_overdue_openings, duration fallback)
{
    const auto found = tries.times.find(data_centre);
    const std::optional<duration> measured =
        found == tries.times.end()
            ? std::nullopt
            : quantile_of(found->second,
                          has_overdue_openings ? overdue_quantile : usual_quantile);
    return std::clamp(measured.value_or(fallback), min_delay, max_opening_timeout);
}

bool may_be_rehashing(const second_tries& tries, const flow_steering& steering,
                      time_point sent_at, time_point now)
{
    const bool has_fleet_changed =
        !tries.fleet_changed_at || now < *tries.fleet_changed_at + rehash_hold;
    const bool has_flow_moved = steering.last_opened_elsewhere_at &&
                                *steering.last_opened_elsewhere_at >= sent_at;
    const bool was_rehashing =
        steering.last_rehash_at && now < *steering.last_rehash_at + rehash_hold;
    return tries.is_leaving || has_fleet_changed || has_flow_moved || was_rehashing;
}

std::optional<time_point> next_due(const second_tries& tries)
{
    if (tries.due.empty())
    {
        return std::nullopt;
    }
    return tries.due.begin()->first;
}

std::string_view to_string(second_try_withheld reason) noexcept
{
    switch (reason)
    {
    case second_try_withheld::budget:
        return "budget";
    case second_try_withheld::rehash:
        return "rehash";
    case second_try_withheld::capacity:
        return "capacity";
    case second_try_withheld::no_target:
        return "no_target";
    case second_try_withheld::target_alive:
        break;
    }
    return "target_alive";
}

void record_opening(second_tries& tries, const routing_table& table,
                    const target_directory& directory, const flow_steering& steering,
                    const flow_packet& packet, byte_view datagram, const endpoint& source,
                    target_index target, time_point now)
{
    if (tries.share <= 0)
    {
        return;
    }
    const std::uint64_t flow = packet.flow.value;
    const bool is_retransmission =
        packet.age > duration(0) || tries.pending.contains(flow);
    remove_pending(tries, flow);
    if (is_retransmission || add_to_budget(tries, packet.listener) == nullptr ||
        !is_repeatable(table, packet) || !steering.flows.contains(flow) ||
        tries.pending.size() >= max_pending_second_tries)
    {
        return;
    }
    const data_centre_id data_centre = directory.targets[target].record.data_centre;
    const duration delay = second_try_delay(
        tries, data_centre, has_overdue_openings(steering, directory, target),
        opening_timeout(steering.selector));
    tries.pending.emplace(
        flow, pending_second_try{.packet = packet,
                                 .datagram = {datagram.begin(), datagram.end()},
                                 .source = source,
                                 .sent_at = now,
                                 .due = now + delay,
                                 .data_centre = data_centre});
    tries.due.emplace(now + delay, flow);
}

void record_answer(second_tries& tries, flow_id flow, const known_target& target,
                   time_point now)
{
    const auto found = tries.pending.find(flow.value);
    if (found == tries.pending.end())
    {
        return;
    }
    const pending_second_try& opening = found->second;
    const bool has_won = opening.second_target == target.record.key;
    if (opening.second_target)
    {
        listener_second_tries& listener = tries.listeners[pack(opening.packet.listener)];
        ++(has_won ? listener.won : listener.lost);
    }
    // If the second target won, the first one would have taken at least as long.
    add_time(tries.times[opening.data_centre], now - opening.sent_at);
    remove_pending(tries, flow.value);
}

void record_capacity_shortage(second_tries& tries, time_point now)
{
    tries.capacity_short_at = now;
}

void observe_fleet(second_tries& tries, const fleet_peers& fleet,
                   const routing_table* table, bool is_leaving, time_point now)
{
    const std::uint64_t signature = signature_of(fleet, table, now);
    tries.is_leaving = is_leaving;
    if (!tries.fleet_changed_at || signature != tries.fleet_signature)
    {
        tries.fleet_changed_at = now;
    }
    tries.fleet_signature = signature;
}

std::vector<second_try> take_due(second_tries& tries, flow_steering& steering,
                                 const routing_table& table,
                                 const target_directory& directory, time_point now)
{
    std::vector<second_try> sent;
    while (!tries.due.empty() && now >= tries.due.begin()->first)
    {
        const std::uint64_t flow = tries.due.begin()->second;
        pending_second_try& opening = tries.pending.at(flow);
        auto result = opening.second_target ? std::nullopt
                                            : send_second_try(tries, steering, table,
                                                              directory, opening, now);
        if (!result)
        {
            remove_pending(tries, flow);
            continue;
        }
        tries.due.erase(tries.due.begin());
        opening.due = now + opening_lifetime;
        tries.due.emplace(opening.due, flow);
        sent.push_back(std::move(*result));
    }
    return sent;
}

} // namespace kumquatpath
