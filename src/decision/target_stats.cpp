#include <kumquatpath/decision/target_stats.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr double opening_smoothing_factor = 0.1;
constexpr double response_time_smoothing_factor = 0.05;
constexpr duration min_opening_timeout = std::chrono::milliseconds(40);
/// An opening is overdue after this multiple of the smoothed time from an opening to the
/// caller's next packet, within the bounds above.
constexpr double opening_timeout_factor = 4;
/// The number of overdue openings from which a target is avoided.
constexpr std::uint32_t suspect_after_overdue_openings = 2;
/// The number of overdue openings from which all targets of a data centre are avoided.
constexpr std::uint32_t data_centre_suspect_after_overdue_openings = 3;
constexpr duration stats_interval = std::chrono::milliseconds(50);
/// The largest share of a service's targets that may be avoided as failing.
constexpr double max_failing_share = 0.5;
/// The largest share of a service's targets that requests that may not be repeated avoid
/// as unproven; otherwise the remaining targets would be overloaded.
constexpr double max_unproven_share = 0.5;
/// The largest share of a service's targets that is avoided because peers doubt them. It
/// holds apart for those that all flows avoid and for those that only requests that may
/// not be repeated do, so that one peer that doubts all targets changes nothing for the
/// others.
constexpr double max_doubted_share = 1.0 / 3;
/// From this number of doubts all new flows avoid a target; one is enough for requests
/// that may not be repeated.
constexpr std::uint32_t doubts_heeded_by_all = 2;
/// A target that has been known for a shorter time is unproven.
constexpr duration proving_time = std::chrono::seconds(3);

double smoothed(double old_value, double sample, double factor)
{
    return old_value == 0 ? sample : old_value + factor * (sample - old_value);
}

/// Sets service_stats::may_avoid_unproven from the targets that take new flows.
void review_unproven_targets(target_selector& selector, const target_directory& directory,
                             service_stats& service,
                             std::span<const target_index> candidates, time_point now)
{
    double unproven = 0;
    double usable = 0;
    for (const target_index index : candidates)
    {
        if (takes_new_flows(directory.targets[index], now))
        {
            const target_stats& stats = stats_of(selector, directory, index);
            unproven += is_unproven(stats, service.quick_share, now) ? 1 : 0;
            usable += 1;
        }
    }
    service.may_avoid_unproven = unproven <= max_unproven_share * usable;
}

/// Sets service_stats::may_avoid_doubted and target_stats::is_avoided_by_peer_reports.
void review_doubted_targets(target_selector& selector, const target_directory& directory,
                            service_stats& service,
                            std::span<const target_index> candidates, time_point now)
{
    double doubted = 0;
    double usable = 0;
    std::uint32_t avoided = 0;
    for (const target_index index : candidates)
    {
        target_stats& stats = stats_of(selector, directory, index);
        const bool is_usable = takes_new_flows(directory.targets[index], now);
        const std::uint32_t doubts = is_usable ? doubts_about(stats, now) : 0;
        stats.is_avoided_by_peer_reports = doubts >= doubts_heeded_by_all;
        usable += is_usable ? 1 : 0;
        doubted += doubts > 0 ? 1 : 0;
        avoided += stats.is_avoided_by_peer_reports ? 1U : 0U;
    }
    service.may_avoid_doubted = doubted <= max_doubted_share * usable;
    const bool may_avoid = avoided <= max_doubted_share * usable;
    for (const target_index index : candidates)
    {
        selector.stats[index].is_avoided_by_peer_reports &= may_avoid;
    }
    service.targets_avoided_by_peer_reports = may_avoid ? avoided : 0;
}

} // namespace

bool is_data_centre_suspect(const target_selector& selector, data_centre_id id)
{
    const auto found = selector.data_centres.find(id);
    return found != selector.data_centres.end() &&
           found->second.overdue_openings >= data_centre_suspect_after_overdue_openings;
}

bool is_unproven(const target_stats& stats, double mean_quick_share, time_point now)
{
    return !stats.known_since || now < *stats.known_since + proving_time ||
           stats.overdue_openings > 0 ||
           is_doubtful(decayed(stats.answers, now), mean_quick_share);
}

std::uint32_t doubts_about(const target_stats& stats, time_point now)
{
    const std::uint32_t peers =
        doubting_peers(stats.peer_reports,
                       {.opening_answered = stats.answered_opening_sent_at,
                        .real_answer = stats.real_answer_at},
                       now);
    return peers == 0 ? 0 : peers + (stats.overdue_openings > 0 ? 1U : 0U);
}

bool is_suspect(const target_stats& target)
{
    return target.overdue_openings >= suspect_after_overdue_openings;
}

duration opening_timeout(const target_selector& selector)
{
    const duration timeout =
        from_milliseconds(opening_timeout_factor * selector.opening_ms);
    return std::clamp(timeout, min_opening_timeout, max_opening_timeout);
}

target_stats& stats_of(target_selector& selector, const target_directory& directory,
                       target_index index)
{
    if (index >= selector.stats.size())
    {
        selector.stats.resize(directory.targets.size());
    }
    target_stats& stats = selector.stats[index];
    const target_record& record = directory.targets[index].record;
    if (stats.key != record.key)
    {
        stats = target_stats{.key = record.key, .incarnation = record.incarnation};
    }
    if (stats.incarnation != record.incarnation)
    {
        stats.incarnation = record.incarnation;
        stats.overdue_openings = 0;
        stats.response_time_ms = 0;
        stats.speed = {};
        stats.known_since.reset();
        stats.answers = {};
        stats.is_failing = false;
        stats.overdue_opening_sent_at = {};
        stats.quick_answer_at = {};
        stats.real_answer_at = {};
        stats.peer_reports = {};
        stats.is_avoided_by_peer_reports = false;
    }
    return stats;
}

void record_opening_answered(target_selector& selector, const target_directory& directory,
                             target_index index, time_point sent, time_point now)
{
    selector.opening_ms = smoothed(selector.opening_ms, milliseconds_of(now - sent),
                                   opening_smoothing_factor);
    target_stats& target = stats_of(selector, directory, index);
    data_centre_stats& data_centre =
        selector.data_centres[directory.targets[index].record.data_centre];
    if (is_suspect(target))
    {
        data_centre.next_trial = now;
        data_centre.trial_interval = duration(0);
    }
    if (sent >= target.answered_opening_sent_at)
    {
        target.answered_opening_sent_at = sent;
        target.overdue_openings = 0;
    }
    if (sent >= data_centre.answered_opening_sent_at)
    {
        data_centre.answered_opening_sent_at = sent;
        data_centre.overdue_openings = 0;
    }
}

void record_opening_overdue(target_selector& selector, const target_directory& directory,
                            target_index index, time_point sent)
{
    target_stats& target = stats_of(selector, directory, index);
    if (sent > target.answered_opening_sent_at)
    {
        ++target.overdue_openings;
        target.overdue_opening_sent_at = std::max(target.overdue_opening_sent_at, sent);
    }
    data_centre_stats& data_centre =
        selector.data_centres[directory.targets[index].record.data_centre];
    if (sent > data_centre.answered_opening_sent_at)
    {
        ++data_centre.overdue_openings;
    }
}

void record_request_answered(target_selector& selector, const target_directory& directory,
                             target_index index, duration time, duration goal,
                             time_point now)
{
    target_stats& target = stats_of(selector, directory, index);
    service_stats& service = selector.services[directory.targets[index].record.service];
    const duration round_trip = from_milliseconds(selector.opening_ms);
    const duration processing_time = time - std::min(time, round_trip);
    const duration mean = from_milliseconds(service.mean_response_time_ms);
    target.response_time_ms = smoothed(target.response_time_ms, milliseconds_of(time),
                                       response_time_smoothing_factor);
    record_time(service.usual_time_of_all, processing_time);
    const duration compared = time_to_compare(mean - std::min(mean, round_trip),
                                              time_of(service.usual_time_of_all));
    const bool is_quick_answer = is_quick(processing_time, compared);
    count_answer(target.answers, is_quick_answer, now);
    (is_quick_answer ? target.quick_answer_at : target.real_answer_at) = now;
    if (selector.options.uses_speeds && !is_quick_answer &&
        !is_warming_up(directory.targets[index], nullptr, now))
    {
        record_answer_time(target.speed, service.usual_time, processing_time, now);
    }
    record_request_time(service.limit, processing_time, goal, now);
}

void update_service_stats(target_selector& selector, const target_directory& directory,
                          service_stats& service,
                          std::span<const target_index> candidates, time_point now)
{
    if (now < service.updated_at + stats_interval)
    {
        return;
    }
    service.updated_at = now;
    double total_ms = 0;
    double measured_targets = 0;
    double total_share = 0;
    double answering_targets = 0;
    for (const target_index index : candidates)
    {
        const target_stats& stats = selector.stats[index];
        const answer_counts answers = decayed(stats.answers, now);
        total_ms += stats.response_time_ms;
        measured_targets += stats.response_time_ms > 0 ? 1 : 0;
        total_share += quick_share(answers);
        answering_targets += answers.total > 0 ? 1 : 0;
    }
    service.mean_response_time_ms =
        measured_targets > 0 ? total_ms / measured_targets : 0;
    service.quick_share = answering_targets > 0 ? total_share / answering_targets : 0;
    std::size_t failing_targets = 0;
    for (const target_index index : candidates)
    {
        target_stats& stats = selector.stats[index];
        stats.is_failing = is_failing(decayed(stats.answers, now), service.quick_share);
        failing_targets += stats.is_failing ? 1U : 0U;
    }
    if (static_cast<double>(failing_targets) > max_failing_share * answering_targets)
    {
        for (const target_index index : candidates)
        {
            selector.stats[index].is_failing = false;
        }
    }
    review_unproven_targets(selector, directory, service, candidates, now);
    if (selector.options.uses_peer_evidence)
    {
        review_doubted_targets(selector, directory, service, candidates, now);
    }
}

} // namespace kumquatpath
