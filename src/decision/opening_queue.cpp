#include <kumquatpath/decision/opening_queue.hpp>

#include <algorithm>
#include <cmath>
#include <compare>
#include <iterator>
#include <utility>

namespace kumquatpath
{
namespace
{

/// A caller gives up an unanswered opening a little later than this.
constexpr duration max_wait = std::chrono::milliseconds(1300);

/// Callers try a request up to this many times, each time with a new opening.
constexpr int attempts_per_request = 3;

/// A queue that has not been empty for this long is a standing queue. A shorter queue is
/// a burst, which is soon placed.
constexpr duration standing_queue_time = std::chrono::milliseconds(60);

/// The share of the time to its placement deadline that an opening may wait in a standing
/// queue. The other attempts of its caller and their round trips take the rest.
constexpr double max_wait_share_in_standing_queue = 0.1;

/// The time in which the placements of a listener decay to 1/e, about a third.
constexpr duration share_decay_time = std::chrono::seconds(1);

/// Returns the placements of \p listener, decayed to \p now.
double share_of(const opening_queue& queue, const endpoint& listener, time_point now)
{
    const auto found = queue.listeners.find(pack(listener));
    if (found == queue.listeners.end())
    {
        return 0;
    }
    const double age = milliseconds_of(now - found->second.updated_at);
    return found->second.placed_flows *
           std::exp(-age / milliseconds_of(share_decay_time));
}

/// Returns whether the caller of \p opening has time for all its attempts even if each of
/// them waits for max_wait.
bool has_time_for_all_attempts(const queued_opening& opening)
{
    return opening.caller_timeout >= attempts_per_request * max_wait;
}

/// Returns whether \p opening gains more by waiting than by an early refusal.
bool may_wait_past_deadline(const queued_opening& opening)
{
    const bool has_goal = opening.placement_deadline > opening.first_sent_at;
    const bool was_late = opening.queued_at > opening.placement_deadline;
    return !has_goal || was_late || has_time_for_all_attempts(opening);
}

/// Returns the time at which \p opening is refused unless it is placed before.
time_point refusal_time(const listener_load& load, const queued_opening& opening,
                        time_point now)
{
    const time_point given_up_at = opening.first_sent_at + max_wait;
    const duration time_to_deadline = opening.placement_deadline - opening.first_sent_at;
    const bool is_standing_queue = now >= load.waiting_since + standing_queue_time;
    if (!is_standing_queue || may_wait_past_deadline(opening))
    {
        return given_up_at;
    }
    const auto max_wait_in_standing_queue = std::chrono::duration_cast<duration>(
        max_wait_share_in_standing_queue * time_to_deadline);
    return std::min(given_up_at, opening.queued_at + max_wait_in_standing_queue);
}

/// Adds \p change to the number of openings that wait for each service of \p opening.
void count_waiting(opening_queue& queue, const queued_opening& opening, int change)
{
    queue.waiting_by_service[opening.service] += change;
    for (const service_id each : opening.further_services)
    {
        queue.waiting_by_service[each] += change;
    }
}

/// Records that \p opening has left \p queue.
void record_removal(opening_queue& queue, const queued_opening& opening)
{
    --queue.listeners[pack(opening.packet.listener)].waiting;
    count_waiting(queue, opening, -1);
    queue.flows.erase(opening.packet.flow.value);
}

/// The sort key of a queued opening; the smallest goes first.
struct queue_rank
{
    bool is_late = false;
    double share = 0;
    /// Negated so that the newest opening has the smallest value.
    duration negated_first_sent_at{0};

    auto operator<=>(const queue_rank&) const = default;
};

} // namespace

std::vector<service_id> further_services_of(const route& matched_route)
{
    std::vector<service_id> services;
    for (const weighted_service& each : std::span(matched_route.services).subspan(1))
    {
        services.push_back(each.service);
    }
    return services;
}

std::optional<queued_opening> add_opening(opening_queue& queue, queued_opening opening)
{
    const bool is_retransmission = !queue.flows.insert(opening.packet.flow.value).second;
    if (is_retransmission)
    {
        const auto duplicate =
            std::find_if(queue.openings.begin(), queue.openings.end(),
                         [&](const queued_opening& each)
                         { return each.packet.flow == opening.packet.flow; });
        opening.service = duplicate->service;
        opening.further_services = std::move(duplicate->further_services);
        opening.priority = duplicate->priority;
        opening.first_sent_at = duplicate->first_sent_at;
        opening.queued_at = duplicate->queued_at;
        opening.placement_deadline = duplicate->placement_deadline;
        *duplicate = std::move(opening);
        return std::nullopt;
    }
    std::optional<queued_opening> evicted;
    if (queue.openings.size() >= max_queued_openings)
    {
        const auto oldest =
            std::min_element(queue.openings.begin(), queue.openings.end(),
                             [](const queued_opening& left, const queued_opening& right)
                             { return left.first_sent_at < right.first_sent_at; });
        evicted = std::move(*oldest);
        queue.openings.erase(oldest);
        record_removal(queue, *evicted);
    }
    listener_load& load = queue.listeners[pack(opening.packet.listener)];
    load.waiting_since = load.waiting == 0 ? opening.queued_at : load.waiting_since;
    ++load.waiting;
    count_waiting(queue, opening, 1);
    queue.openings.push_back(std::move(opening));
    return evicted;
}

void record_placement(opening_queue& queue, const endpoint& listener, time_point now)
{
    const double before = share_of(queue, listener, now);
    listener_load& load = queue.listeners[pack(listener)];
    load.placed_flows = before + 1;
    load.updated_at = now;
}

std::optional<std::size_t> next_opening(const opening_queue& queue,
                                        std::span<const endpoint> full_listeners,
                                        time_point now)
{
    boost::unordered_flat_map<std::uint64_t, double> shares;
    std::optional<std::size_t> best;
    queue_rank best_rank;
    for (std::size_t index = 0; index < queue.openings.size(); ++index)
    {
        const queued_opening& each = queue.openings[index];
        const endpoint& listener = each.packet.listener;
        if (std::find(full_listeners.begin(), full_listeners.end(), listener) !=
            full_listeners.end())
        {
            continue;
        }
        const auto [share, is_new] = shares.try_emplace(pack(listener), 0);
        share->second = is_new ? share_of(queue, listener, now) : share->second;
        const queue_rank rank{.is_late = now > each.placement_deadline,
                              .share = share->second,
                              .negated_first_sent_at =
                                  -each.first_sent_at.time_since_epoch()};
        if (!best || rank < best_rank)
        {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

queued_opening take_opening(opening_queue& queue, std::size_t index)
{
    std::swap(queue.openings[index], queue.openings.back());
    queued_opening taken = std::move(queue.openings.back());
    queue.openings.pop_back();
    record_removal(queue, taken);
    return taken;
}

std::vector<queued_opening> take_openings(opening_queue& queue,
                                          std::span<const std::size_t> indices)
{
    std::vector<queued_opening> taken;
    std::vector<bool> is_taken(queue.openings.size());
    for (const std::size_t index : indices)
    {
        record_removal(queue, queue.openings[index]);
        taken.push_back(std::move(queue.openings[index]));
        is_taken[index] = true;
    }
    std::size_t kept = 0;
    for (std::size_t index = 0; index < queue.openings.size(); ++index)
    {
        if (!is_taken[index] && kept != index)
        {
            queue.openings[kept] = std::move(queue.openings[index]);
        }
        kept += is_taken[index] ? 0U : 1U;
    }
    queue.openings.resize(kept);
    return taken;
}

time_point last_useful_placement(const queued_opening& opening)
{
    return may_wait_past_deadline(opening) ? opening.first_sent_at + max_wait
                                           : opening.placement_deadline;
}

std::vector<queued_opening> take_expired(opening_queue& queue, time_point now)
{
    std::vector<queued_opening> expired;
    const auto first = std::partition(queue.openings.begin(), queue.openings.end(),
                                      [&](const queued_opening& each)
                                      {
                                          const listener_load& load =
                                              queue.listeners[pack(each.packet.listener)];
                                          return now < refusal_time(load, each, now);
                                      });
    std::move(first, queue.openings.end(), std::back_inserter(expired));
    queue.openings.erase(first, queue.openings.end());
    for (const queued_opening& each : expired)
    {
        record_removal(queue, each);
    }
    return expired;
}

std::vector<queued_opening> take_all(opening_queue& queue)
{
    for (const queued_opening& each : queue.openings)
    {
        record_removal(queue, each);
    }
    return std::exchange(queue.openings, {});
}

} // namespace kumquatpath
