#include <kumquatpath/decision/target_cost.hpp>
#include <kumquatpath/decision/target_review.hpp>
#include <kumquatpath/decision/target_selector.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace kumquatpath
{
namespace
{

constexpr duration min_trial_interval = std::chrono::milliseconds(700);
constexpr duration max_trial_interval = std::chrono::milliseconds(2800);
/// A service without a repeatable request for this long has its other requests pay for
/// trial flows, because else a suspect target would never be trusted again.
constexpr duration repeatable_absence = std::chrono::seconds(3);
constexpr double utilization_smoothing_factor = 0.05;
/// The range of the random part of a cost that breaks ties.
constexpr double tie_break_range = 0.05;

/// Returns a pseudo-random number in [0, 1) derived from \p bits and \p index.
double jitter(std::uint64_t bits, target_index index)
{
    return unit_interval(hash_pair(bits, index));
}

/// Returns whether a suspect target of the data centre \p id may get a trial flow. A
/// trial flow may be lost, so only one target of a data centre gets one at a time, at
/// intervals that grow while no trial flow is answered.
bool is_trial_due(target_selector& selector, data_centre_id id, time_point now)
{
    return now >= selector.data_centres[id].next_trial;
}

void record_trial(target_selector& selector, data_centre_id id, target_stats& target,
                  time_point now)
{
    data_centre_stats& data_centre = selector.data_centres[id];
    data_centre.trial_interval = std::clamp(2 * data_centre.trial_interval,
                                            min_trial_interval, max_trial_interval);
    data_centre.next_trial = now + data_centre.trial_interval;
    target.last_trial = now;
}

/// How far a target is to be avoided. A target of a lower rank goes first, whatever it
/// costs.
using avoidance_rank = std::uint32_t;
/// For requests that may not be repeated, and for all if enough peers doubt the target.
constexpr avoidance_rank unsound_rank = 1;
constexpr avoidance_rank unhealthy_rank = 2;
/// The last choice, also behind unhealthy targets.
constexpr avoidance_rank avoided_rank = 4;

/// One target that takes new flows, as it stands for one request.
struct candidate
{
    const target_index* index = nullptr;
    const known_target* target = nullptr;
    const target_stats* stats = nullptr;
    /// The target or its data centre is suspect, so it gets trial flows only.
    bool is_unresponsive = false;
    avoidance_rank rank = 0;
    /// Added to the cost while the target warms up.
    double warm_up_cost = 0;
};

/// The choice among some of the candidates: of those with the lowest rank, the one with
/// the lowest draw.
struct choice
{
    const target_index* index = nullptr;
    avoidance_rank rank = std::numeric_limits<avoidance_rank>::max();
    double draw = std::numeric_limits<double>::max();
    /// The lowest cost among the candidates with this rank.
    double least_cost = std::numeric_limits<double>::max();
};

/// The result of comparing the candidates of one request.
struct comparison
{
    choice local;
    /// Only if speeds are used; otherwise all targets are compared in \c local.
    choice remote;
    /// The unresponsive target whose trial flow is due; null: none.
    const target_index* trial = nullptr;
    bool has_full_target = false;
    /// The load of the healthy targets.
    service_load load;
};

bool is_unhealthy(const candidate& each)
{
    return each.is_unresponsive || each.stats->is_failing;
}

avoidance_rank rank_of(const candidate& each, const selection_request& request,
                       const service_stats& service, time_point now)
{
    const bool is_avoided = request.avoided != nullptr && *request.avoided == *each.index;
    const avoidance_rank base = is_avoided ? avoided_rank : 0;
    if (is_unhealthy(each))
    {
        return base + unhealthy_rank;
    }
    const bool is_at_risk = !request.is_repeatable && service.may_avoid_unproven &&
                            is_unproven(*each.stats, service.quick_share, now);
    const bool is_reported = each.stats->is_avoided_by_peer_reports ||
                             (!request.is_repeatable && service.may_avoid_reported &&
                              reports_against(*each.stats, now) > 0);
    return base + (is_at_risk || is_reported ? unsound_rank : 0);
}

candidate assess(target_selector& selector, const target_directory& directory,
                 const selection_request& request, const service_stats& service,
                 const target_index& index, bool has_suspect_data_centre, time_point now)
{
    const known_target& target = directory.targets[index];
    target_stats& stats = stats_of(selector, directory, index);
    stats.known_since = stats.known_since.value_or(now);
    candidate result{.index = &index, .target = &target, .stats = &stats};
    result.is_unresponsive =
        is_suspect(stats) ||
        (has_suspect_data_centre &&
         is_data_centre_suspect(selector, target.record.data_centre));
    result.rank = rank_of(result, request, service, now);
    if (stats.estimate.is_outdated)
    {
        stats.estimate = estimate_of(stats, service, selector.options, now);
    }
    return result;
}

bool is_full(const candidate& each)
{
    // Each target may have at least one.
    return each.stats->in_flight > 0 &&
           each.stats->in_flight >=
               max_flows_at(*each.target, each.stats->estimate.speed);
}

void count_load(service_load& load, const candidate& each)
{
    if (!is_unhealthy(each))
    {
        load.in_flight += each.stats->in_flight;
        load.slots += each.target->record.slots;
    }
}

/// Makes \p each the target of the next trial flow if that is due and no other target has
/// waited longer for one.
void consider_trial(target_selector& selector, comparison& result, const candidate& each,
                    time_point now)
{
    if (each.is_unresponsive &&
        is_trial_due(selector, each.target->record.data_centre, now) &&
        (result.trial == nullptr ||
         each.stats->last_trial < selector.stats[*result.trial].last_trial))
    {
        result.trial = each.index;
    }
}

void consider(choice& current, const candidate& each, double cost, double draw)
{
    if (each.rank > current.rank)
    {
        return;
    }
    if (each.rank < current.rank)
    {
        current = {.rank = each.rank};
    }
    current.least_cost = std::min(current.least_cost, cost);
    if (draw < current.draw)
    {
        current.index = each.index;
        current.draw = draw;
    }
}

/// Records the share of the slots in \p load that this instance's flows would use if all
/// instances had as many.
void record_utilization(service_stats& service, const service_load& load)
{
    const double flows = static_cast<double>(load.in_flight) * load.instances;
    const double share = load.slots == 0 ? 1 : flows / load.slots;
    service.utilization += utilization_smoothing_factor * (share - service.utilization);
}

/// Returns whether a trial flow may carry \p request.
bool pays_for_trials(const selection_request& request, const service_stats& service,
                     time_point now)
{
    return request.is_repeatable || !service.repeatable_seen_at ||
           now >= *service.repeatable_seen_at + repeatable_absence;
}

/// Returns the choice among the targets of both places, the remote one with the measured
/// share of flows if no local target is better.
const choice& better_place_by_times(target_selector& selector,
                                    const target_directory& directory,
                                    const selection_request& request,
                                    const comparison& compared, time_point now)
{
    remote_placement& placement = selector.remote;
    if (compared.remote.index == nullptr || compared.remote.rank > compared.local.rank)
    {
        return compared.local;
    }
    if (compared.remote.rank < compared.local.rank)
    {
        placement.reason = remote_reason::no_local_target;
        return compared.remote;
    }
    const flow_to_place flow{
        .service = request.service,
        .local = selector.local_data_centre,
        .remote = directory.targets[*compared.remote.index].record.data_centre,
        .bearable_in_flight = selector.services[request.service].limit.min_in_flight,
        .random = request.random};
    update_placement(placement, flow, now);
    if (!is_remote_better(placement, flow))
    {
        return compared.local;
    }
    placement.reason = remote_reason::shorter_time;
    return compared.remote;
}

/// Returns the choice among the targets of both places. Flows stay local as long as a
/// local target costs no more than each remote one, or by measured times.
const choice& better_place(target_selector& selector, const target_directory& directory,
                           const selection_request& request, const comparison& compared,
                           time_point now)
{
    if (selector.options.uses_speeds && selector.options.measures_distance)
    {
        return better_place_by_times(selector, directory, request, compared, now);
    }
    const auto order = [](const choice& each)
    {
        return std::pair(each.rank, each.least_cost);
    };
    return order(compared.remote) < order(compared.local) ? compared.remote
                                                          : compared.local;
}

/// Returns an exponentially distributed number with the mean \p mean. The lowest one of a
/// set belongs to a member with a probability in proportion to the inverse of its mean.
double exponential_draw(double mean, double uniform)
{
    return -std::log1p(-uniform) * mean;
}

/// Returns a lower bound of exponential_draw() that needs no logarithm.
double least_exponential_draw(double mean, double uniform)
{
    return uniform * mean;
}

void compare(comparison& result, const target_selector& selector,
             const selection_request& request, const candidate& each, time_point now)
{
    const double cost =
        cost_of(selector, *each.target, *each.stats, request.warm_up, now) +
        each.warm_up_cost;
    const double uniform = jitter(request.random, *each.index);
    if (!selector.options.uses_speeds)
    {
        consider(result.local, each, cost, cost + tie_break_range * uniform);
        return;
    }
    const bool is_local = each.target->record.data_centre == selector.local_data_centre;
    choice& place = is_local ? result.local : result.remote;
    const double mean = mean_draw_of(*each.target, *each.stats, request.warm_up, now);
    const double least_draw = least_exponential_draw(mean, uniform) + each.warm_up_cost;
    const bool may_win = each.rank < place.rank || least_draw < place.draw;
    consider(place, each, cost,
             may_win ? exponential_draw(mean, uniform) + each.warm_up_cost : least_draw);
}

/// Records the selection of \p selected, unless that is null, and returns it.
const target_index* use_target(target_selector& selector,
                               const target_directory& directory,
                               const selection_request& request,
                               const target_index* selected, time_point now)
{
    if (selected != nullptr)
    {
        record_warm_up_use(selector.warm_up, request.warm_up, directory, *selected, now);
    }
    return selected;
}

comparison compare_targets(target_selector& selector, const target_directory& directory,
                           const selection_request& request, const service_stats& service,
                           time_point now)
{
    comparison result{.load = {.instances = selector.instances}};
    const bool any_suspect = has_suspect_data_centre(selector);
    for (const target_index& index : targets_of(directory, request.service))
    {
        const warm_up_use warm_up = warm_up_use_of(selector.warm_up, request.warm_up,
                                                   directory, index, request.random, now);
        if (!takes_new_flows(directory.targets[index], now) || !warm_up.is_allowed)
        {
            continue;
        }
        candidate each =
            assess(selector, directory, request, service, index, any_suspect, now);
        each.warm_up_cost = warm_up.cost;
        count_load(result.load, each);
        if (request.may_wait && each.rank < unhealthy_rank && is_full(each))
        {
            result.has_full_target = true;
            continue;
        }
        consider_trial(selector, result, each, now);
        compare(result, selector, request, each, now);
    }
    return result;
}

} // namespace

const target_index* select_target(target_selector& selector,
                                  const target_directory& directory,
                                  const selection_request& request, time_point now)
{
    service_stats& service = selector.services[request.service];
    selector.stats.resize(std::max(selector.stats.size(), directory.targets.size()));
    review_service(selector, directory, service, targets_of(directory, request.service),
                   now);
    if (request.is_repeatable)
    {
        service.repeatable_seen_at = now;
    }
    const comparison result = compare_targets(selector, directory, request, service, now);
    record_utilization(service, result.load);
    if (result.trial != nullptr && request.avoided == nullptr &&
        pays_for_trials(request, service, now))
    {
        record_trial(selector, directory.targets[*result.trial].record.data_centre,
                     selector.stats[*result.trial], now);
        return use_target(selector, directory, request, result.trial, now);
    }
    const choice& best = better_place(selector, directory, request, result, now);
    const bool is_best_healthy = best.index != nullptr && best.rank < unhealthy_rank;
    if (request.may_wait && is_best_healthy &&
        !may_start_request(service.limit, result.load))
    {
        return nullptr;
    }
    if (result.has_full_target && !is_best_healthy)
    {
        return nullptr;
    }
    const bool is_at_risk =
        !request.is_repeatable && best.index != nullptr && best.rank > 0;
    selector.flows_placed_at_risk += is_at_risk ? 1U : 0U;
    return use_target(selector, directory, request, best.index, now);
}

} // namespace kumquatpath
