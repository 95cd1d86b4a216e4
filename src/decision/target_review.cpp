#include <kumquatpath/decision/review_interval.hpp>
#include <kumquatpath/decision/target_health.hpp>
#include <kumquatpath/decision/target_measurement.hpp>
#include <kumquatpath/decision/target_review.hpp>

namespace kumquatpath
{
namespace
{

/// How many targets are looked at in a second to find those that are to be avoided.
constexpr double judged_targets_per_second = 12'000;
/// The same for new estimates, each of which takes some exponentials. A service of 120
/// targets has them at every review.
constexpr double estimated_targets_per_second = 2400;
/// The largest share of a service's targets that may be avoided as failing.
constexpr double max_failing_share = 0.5;
/// The largest share of a service's targets that requests that may not be repeated avoid
/// as unproven; otherwise the remaining targets would be overloaded.
constexpr double max_unproven_share = 0.5;
/// The largest share of a service's targets that is avoided because peers report doubts.
/// It holds apart for those that all flows avoid and for those that only requests that
/// may not be repeated do, so that one peer that doubts all targets changes nothing for
/// the others.
constexpr double max_share_avoided_by_reports = 1.0 / 3;
/// From this number of reports all new flows avoid a target; one is enough for requests
/// that may not be repeated.
constexpr std::uint32_t reports_heeded_by_all = 2;

/// Sets the means of \p service.
void measure_service(const target_selector& selector, service_stats& service,
                     std::span<const target_index> candidates)
{
    double total_ms = 0;
    double measured_targets = 0;
    double total_share = 0;
    double answering_targets = 0;
    for (const target_index index : candidates)
    {
        const target_stats& stats = selector.stats[index];
        total_ms += stats.response_time_ms;
        measured_targets += stats.response_time_ms > 0 ? 1 : 0;
        total_share += quick_share(stats.answers);
        answering_targets += stats.answers.total > 0 ? 1 : 0;
    }
    service.mean_response_time_ms =
        measured_targets > 0 ? total_ms / measured_targets : 0;
    service.quick_share = answering_targets > 0 ? total_share / answering_targets : 0;
    service.answering_targets = answering_targets;
}

/// Numbers of targets of one service.
struct review_counts
{
    double usable = 0;
    double failing = 0;
    double unproven = 0;
    /// At least one peer reports a doubt about them.
    double reported = 0;
    std::uint32_t avoided_by_peer_reports = 0;
};

/// Sets what follows from the measurements of one target, and counts it.
void judge_target(review_counts& counts, target_stats& stats,
                  const service_stats& service, bool is_usable, time_point now)
{
    stats.is_failing = has_doubtful_answers(stats.answers, service.quick_share, now) &&
                       is_failing(decayed(stats.answers, now), service.quick_share);
    counts.failing += stats.is_failing ? 1 : 0;
    stats.is_avoided_by_peer_reports = false;
    if (!is_usable)
    {
        return;
    }
    counts.usable += 1;
    counts.unproven += is_unproven(stats, service.quick_share, now) ? 1 : 0;
    const std::uint32_t reports = reports_against(stats, now);
    stats.is_avoided_by_peer_reports = reports >= reports_heeded_by_all;
    counts.reported += reports > 0 ? 1 : 0;
    counts.avoided_by_peer_reports += stats.is_avoided_by_peer_reports ? 1U : 0U;
}

/// Decides for which reasons targets of \p service are avoided, and avoids none for a
/// reason that too many of them have.
void apply_limits(target_selector& selector, service_stats& service,
                  std::span<const target_index> candidates, const review_counts& counts)
{
    service.may_avoid_unproven = counts.unproven <= max_unproven_share * counts.usable;
    service.may_avoid_reported =
        counts.reported <= max_share_avoided_by_reports * counts.usable;
    const bool may_avoid_failing =
        counts.failing <= max_failing_share * service.answering_targets;
    const bool may_avoid_by_reports =
        counts.avoided_by_peer_reports <= max_share_avoided_by_reports * counts.usable;
    service.targets_avoided_by_peer_reports =
        may_avoid_by_reports ? counts.avoided_by_peer_reports : 0;
    if (may_avoid_failing && may_avoid_by_reports)
    {
        return;
    }
    for (const target_index index : candidates)
    {
        target_stats& stats = selector.stats[index];
        stats.is_failing &= may_avoid_failing;
        stats.is_avoided_by_peer_reports &= may_avoid_by_reports;
    }
}

void judge_targets(target_selector& selector, const target_directory& directory,
                   service_stats& service, std::span<const target_index> candidates,
                   time_point now)
{
    review_counts counts;
    for (const target_index index : candidates)
    {
        judge_target(counts, stats_of(selector, directory, index), service,
                     takes_new_flows(directory.targets[index], now), now);
    }
    apply_limits(selector, service, candidates, counts);
}

} // namespace

void review_service(target_selector& selector, const target_directory& directory,
                    service_stats& service, std::span<const target_index> candidates,
                    time_point now)
{
    const auto is_due = [&](time_point last, double targets_per_second)
    {
        return now >= last + review_interval(candidates.size(), targets_per_second);
    };
    if (is_due(service.judged_at, judged_targets_per_second))
    {
        service.judged_at = now;
        measure_service(selector, service, candidates);
        judge_targets(selector, directory, service, candidates, now);
    }
    if (is_due(service.estimated_at, estimated_targets_per_second))
    {
        service.estimated_at = now;
        for (const target_index index : candidates)
        {
            selector.stats[index].estimate.is_outdated = true;
        }
    }
}

} // namespace kumquatpath
