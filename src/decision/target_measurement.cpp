#include <kumquatpath/decision/target_health.hpp>
#include <kumquatpath/decision/target_measurement.hpp>

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

double smoothed(double old_value, double sample, double factor)
{
    return old_value == 0 ? sample : old_value + factor * (sample - old_value);
}

/// Has the doubt about the target at \p index reported with the next heartbeat.
void list_as_doubted(target_selector& selector, target_index index)
{
    std::vector<target_index>& doubted = selector.reportable.doubted;
    bool& is_listed = selector.stats[index].is_listed_as_doubted;
    if (selector.options.uses_peer_evidence && !is_listed &&
        doubted.size() < selector.stats.size())
    {
        is_listed = true;
        doubted.push_back(index);
    }
}

} // namespace

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
        stats.estimate = {};
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
        list_as_doubted(selector, index);
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
    target.estimate.is_outdated = true;
    if (is_quick_answer)
    {
        list_as_doubted(selector, index);
    }
    if (selector.options.uses_speeds && !is_quick_answer &&
        !is_warming_up(directory.targets[index], nullptr, now))
    {
        record_answer_time(target.speed, service.usual_time, processing_time, now);
    }
    record_request_time(service.limit, processing_time, goal, now);
}

} // namespace kumquatpath
