#include <kumquatpath/decision/target_choice.hpp>

#include <algorithm>
#include <limits>

namespace kumquatpath
{
namespace
{

constexpr double smoothing = 0.1;
constexpr double service_smoothing = 0.05;
constexpr duration least_patience = std::chrono::milliseconds(40);
constexpr duration most_patience = std::chrono::milliseconds(180);
constexpr double patience_in_openings = 4;
/// Overdue openings from which on a target is passed over.
constexpr std::uint32_t overdue_to_suspect = 2;
constexpr std::uint32_t overdue_to_suspect_data_centre = 3;
constexpr duration least_trial_interval = std::chrono::milliseconds(700);
constexpr duration most_trial_interval = std::chrono::milliseconds(2800);
/// Flows in a target's care, by its slots, from which on it is full.
constexpr std::uint32_t full_by_slots = 2;
/// What a way to another data centre counts, in shares of a target's slots.
constexpr double remote_cost = 0.34;
/// How much longer a target takes that has just started.
constexpr double cold_factor = 1.6;
/// A target within this factor of the others' mean is as fast as they are.
constexpr double usual_slowness = 1.2;
constexpr double most_slowness = 6;
constexpr duration sum_interval = std::chrono::milliseconds(50);
/// The share of a service's targets that may be passed over because they fail.
constexpr double most_failing_share = 0.5;

double smoothed(double old_value, double sample, double share)
{
    return old_value == 0 ? sample : old_value + share * (sample - old_value);
}

bool is_cold(const known_target& target, time_point now)
{
    return now < target.announced_at + target.record.warm_up_left;
}

/// Sums up \p service, whose targets are at \p places, and judges which of them fail. If
/// most do, the fault is not theirs alone and none is passed over.
void sum_up(target_choice& choice, service_evidence& service,
            std::span<const target_index> places, time_point now)
{
    if (now < service.summed_at + sum_interval)
    {
        return;
    }
    service.summed_at = now;
    double time = 0;
    double timed = 0;
    double share = 0;
    double counted = 0;
    for (const target_index place : places)
    {
        const target_evidence& evidence = choice.evidence[place];
        const answer_counts answers = faded(evidence.answers, now);
        time += evidence.service_ms;
        timed += evidence.service_ms > 0 ? 1 : 0;
        share += quick_share(answers);
        counted += answers.all > 0 ? 1 : 0;
    }
    service.mean_ms = timed > 0 ? time / timed : 0;
    service.quick_share = counted > 0 ? share / counted : 0;
    std::size_t failing = 0;
    for (const target_index place : places)
    {
        target_evidence& evidence = choice.evidence[place];
        evidence.is_failing =
            is_failing(faded(evidence.answers, now), service.quick_share);
        failing += evidence.is_failing ? 1U : 0U;
    }
    if (static_cast<double>(failing) > most_failing_share * counted)
    {
        for (const target_index place : places)
        {
            choice.evidence[place].is_failing = false;
        }
    }
}

double slowness_of(const target_evidence& evidence, double mean_ms)
{
    if (mean_ms <= 0 || evidence.service_ms <= 0)
    {
        return 1;
    }
    return std::clamp(evidence.service_ms / mean_ms / usual_slowness, 1.0, most_slowness);
}

/// Returns how long a flow would wait at \p target, in shares of a service time.
double cost_of(const target_choice& choice, const known_target& target,
               const target_evidence& evidence, double mean_ms, time_point now)
{
    const double slots = std::max(1U, target.record.slots);
    const double load = evidence.busy / slots;
    double cost = (1 + load) * slowness_of(evidence, mean_ms);
    cost *= is_cold(target, now) ? cold_factor : 1;
    cost += target.record.data_centre == choice.home ? 0 : remote_cost;
    return cost;
}

/// A pseudo-random number in [0, 1), from \p bits and \p place.
double jitter(std::uint64_t bits, target_index place)
{
    constexpr double scale = 1.0 / 4294967296.0;
    return static_cast<double>(mix(bits, place) >> 32U) * scale;
}

bool is_data_centre_suspect(const target_choice& choice, data_centre_id of)
{
    const auto found = choice.data_centres.find(of);
    return found != choice.data_centres.end() &&
           found->second.overdue >= overdue_to_suspect_data_centre;
}

/// A trial flow may be lost, so the suspect targets of a data centre get them one at a
/// time, and more and more rarely while none is answered.
bool is_trial_due(target_choice& choice, data_centre_id of, time_point now)
{
    return now >= choice.data_centres[of].next_trial;
}

void note_trial(target_choice& choice, data_centre_id of, target_evidence& target,
                time_point now)
{
    data_centre_evidence& all = choice.data_centres[of];
    all.trial_interval =
        std::clamp(2 * all.trial_interval, least_trial_interval, most_trial_interval);
    all.next_trial = now + all.trial_interval;
    target.last_trial = now;
}

bool is_full(const known_target& target, const target_evidence& evidence)
{
    return evidence.busy >= full_by_slots * std::max(1U, target.record.slots);
}

} // namespace

bool is_suspect(const target_evidence& target)
{
    return target.overdue >= overdue_to_suspect;
}

duration opening_patience(const target_choice& choice)
{
    const duration time = from_milliseconds(patience_in_openings * choice.opening_ms);
    return std::clamp(time, least_patience, most_patience);
}

target_evidence& evidence_of(target_choice& choice, const target_directory& directory,
                             target_index place)
{
    if (place >= choice.evidence.size())
    {
        choice.evidence.resize(directory.targets.size());
    }
    target_evidence& evidence = choice.evidence[place];
    const target_record& record = directory.targets[place].record;
    if (evidence.key != record.key)
    {
        evidence = target_evidence{.key = record.key, .incarnation = record.incarnation};
    }
    if (evidence.incarnation != record.incarnation)
    {
        evidence.incarnation = record.incarnation;
        evidence.overdue = 0;
        evidence.service_ms = 0;
        evidence.answers = {};
        evidence.is_failing = false;
    }
    return evidence;
}

const target_index* choose_target(target_choice& choice,
                                  const target_directory& directory,
                                  const choice_request& request, time_point now)
{
    constexpr double tie_breadth = 0.05;
    constexpr double suspect_cost = 1000;
    const std::span<const target_index> places = targets_of(directory, request.service);
    service_evidence& service = choice.services[request.service];
    choice.evidence.resize(std::max(choice.evidence.size(), directory.targets.size()));
    sum_up(choice, service, places, now);
    const target_index* best = nullptr;
    const target_index* trial = nullptr;
    bool has_full = false;
    service_load load{.instances = choice.instances};
    double best_cost = std::numeric_limits<double>::max();
    for (const target_index& place : places)
    {
        const known_target& target = directory.targets[place];
        if (!takes_new_flows(target, now))
        {
            continue;
        }
        const target_evidence& evidence = evidence_of(choice, directory, place);
        const bool is_avoided = request.avoided != nullptr && *request.avoided == place;
        const bool is_silent = is_suspect(evidence) ||
                               is_data_centre_suspect(choice, target.record.data_centre);
        const bool is_doubtful = is_silent || evidence.is_failing;
        if (!is_doubtful)
        {
            load.busy += evidence.busy;
            load.slots += target.record.slots;
        }
        if (request.is_patient && !is_doubtful && !is_avoided &&
            is_full(target, evidence))
        {
            has_full = true;
            continue;
        }
        if (is_silent && is_trial_due(choice, target.record.data_centre, now) &&
            (trial == nullptr ||
             evidence.last_trial < choice.evidence[*trial].last_trial))
        {
            trial = &place;
        }
        const double cost = cost_of(choice, target, evidence, service.mean_ms, now) +
                            tie_breadth * jitter(request.random, place) +
                            (is_avoided ? 2 * suspect_cost : 0) +
                            (is_doubtful ? suspect_cost : 0);
        if (cost < best_cost)
        {
            best_cost = cost;
            best = &place;
        }
    }
    if (trial != nullptr && request.avoided == nullptr)
    {
        note_trial(choice, directory.targets[*trial].record.data_centre,
                   choice.evidence[*trial], now);
        return trial;
    }
    const bool is_only_doubtful = best_cost >= suspect_cost;
    if (request.is_patient && best != nullptr && !is_only_doubtful &&
        !has_room(service.limit, load))
    {
        return nullptr;
    }
    return has_full && is_only_doubtful ? nullptr : best;
}

void note_answered(target_choice& choice, const target_directory& directory,
                   target_index place, time_point sent, time_point now)
{
    choice.opening_ms =
        smoothed(choice.opening_ms, milliseconds_of(now - sent), smoothing);
    target_evidence& target = evidence_of(choice, directory, place);
    data_centre_evidence& all =
        choice.data_centres[directory.targets[place].record.data_centre];
    if (is_suspect(target))
    {
        all.next_trial = now;
        all.trial_interval = duration(0);
    }
    if (sent >= target.answered_opening)
    {
        target.answered_opening = sent;
        target.overdue = 0;
    }
    if (sent >= all.answered_opening)
    {
        all.answered_opening = sent;
        all.overdue = 0;
    }
}

void note_overdue(target_choice& choice, const target_directory& directory,
                  target_index place, time_point sent)
{
    target_evidence& target = evidence_of(choice, directory, place);
    if (sent > target.answered_opening)
    {
        ++target.overdue;
    }
    data_centre_evidence& all =
        choice.data_centres[directory.targets[place].record.data_centre];
    if (sent > all.answered_opening)
    {
        ++all.overdue;
    }
}

void note_served(target_choice& choice, const target_directory& directory,
                 target_index place, duration time, duration goal, time_point now)
{
    target_evidence& target = evidence_of(choice, directory, place);
    service_evidence& service = choice.services[directory.targets[place].record.service];
    const duration way = from_milliseconds(choice.opening_ms);
    const duration own_time = time - std::min(time, way);
    const duration usual = from_milliseconds(service.mean_ms);
    target.service_ms =
        smoothed(target.service_ms, milliseconds_of(time), service_smoothing);
    count_answer(target.answers, is_quick(own_time, usual - std::min(usual, way)), now);
    note_request_time(service.limit, own_time, goal, now);
}

} // namespace kumquatpath
