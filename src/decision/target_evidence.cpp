#include <kumquatpath/decision/review_interval.hpp>
#include <kumquatpath/decision/target_evidence.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatpath
{
namespace
{

/// One step of the level of evidence_kind::speed.
constexpr double log_slowness_step = 0.02;
/// The highest level of a speed, up or down: a factor of 10.
constexpr int max_speed_level = 115;
/// A speed that rests on fewer answers is not reported.
constexpr double min_reported_answers = 1.5;
/// How many targets are looked at in a second to find those with known speeds.
constexpr double reviewed_targets_per_second = 6000;
/// An instance that doubts a larger share of the targets reports no doubts.
constexpr double max_reported_share = 1.0 / 3;

std::chrono::milliseconds age_of(time_point seen_at, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - seen_at);
}

bool is_recent(time_point seen_at, time_point now)
{
    return seen_at != time_point() && now < seen_at + max_doubt_age;
}

target_evidence make_evidence(const known_target& target, evidence_kind kind,
                              double level)
{
    constexpr double limit = std::numeric_limits<std::int8_t>::max();
    return {.target = target.token,
            .incarnation = incarnation_check(target.record.incarnation),
            .kind = kind,
            .level = static_cast<std::int8_t>(std::clamp(level, -limit, limit))};
}

/// Returns whether \p stats are about \p target, which takes new flows.
bool is_usable(const known_target& target, const target_stats& stats, time_point now)
{
    return takes_new_flows(target, now) && stats.key == target.record.key &&
           stats.incarnation == target.record.incarnation;
}

/// Returns the doubt that \p stats give about \p target; unset: none.
std::optional<target_evidence> doubt_about(const target_selector& selector,
                                           const known_target& target,
                                           const target_stats& stats, time_point now)
{
    if (stats.overdue_openings > 0 && is_recent(stats.overdue_opening_sent_at, now) &&
        !is_data_centre_suspect(selector, target.record.data_centre))
    {
        target_evidence doubt =
            make_evidence(target, evidence_kind::unanswered, stats.overdue_openings);
        doubt.age = age_of(stats.overdue_opening_sent_at, now);
        return doubt;
    }
    const auto service = selector.services.find(target.record.service);
    const double mean_share =
        service == selector.services.end() ? 0 : service->second.quick_share;
    if (is_recent(stats.quick_answer_at, now) &&
        is_doubtful(stats.answers, mean_share, now))
    {
        const double quick = decayed(stats.answers, now).quick;
        target_evidence doubt =
            make_evidence(target, evidence_kind::quick_answers, std::max(1.0, quick));
        doubt.age = age_of(stats.quick_answer_at, now);
        return doubt;
    }
    return std::nullopt;
}

bool has_reportable_speed(const target_stats& stats, time_point now)
{
    const speed_evidence& own = stats.speed.own;
    return own.answers >= min_reported_answers &&
           decayed(own, now).answers >= min_reported_answers;
}

target_evidence speed_of_target(const known_target& target, const target_stats& stats)
{
    const double level = std::round(stats.speed.own.log_slowness / log_slowness_step);
    return make_evidence(target, evidence_kind::speed,
                         std::clamp<double>(level, -max_speed_level, max_speed_level));
}

/// Removes the targets that are no longer doubted and sets the doubts of the others.
void review_doubts(target_selector& selector, const target_directory& directory,
                   time_point now)
{
    reportable_evidence& reportable = selector.reportable;
    reportable.doubts.clear();
    for (const target_index index : reportable.doubted)
    {
        selector.stats[index].is_listed_as_doubted = false;
    }
    std::erase_if(reportable.doubted,
                  [&](target_index index)
                  {
                      target_stats& stats = selector.stats[index];
                      const known_target& target = directory.targets[index];
                      // A target that has taken over an index may be listed twice.
                      if (stats.is_listed_as_doubted || !is_usable(target, stats, now))
                      {
                          return true;
                      }
                      const auto doubt = doubt_about(selector, target, stats, now);
                      stats.is_listed_as_doubted = doubt.has_value();
                      if (doubt)
                      {
                          reportable.doubts.push_back(*doubt);
                      }
                      return !doubt.has_value();
                  });
}

/// Sets the targets whose speed may be reported and counts the usable ones.
void review_measured_targets(target_selector& selector, const target_directory& directory,
                             time_point now)
{
    reportable_evidence& reportable = selector.reportable;
    reportable.measured_at = now;
    reportable.measured.clear();
    reportable.usable_targets = 0;
    const std::size_t count = std::min(selector.stats.size(), directory.targets.size());
    for (target_index index = 0; index < count; ++index)
    {
        const target_stats& stats = selector.stats[index];
        if (!is_usable(directory.targets[index], stats, now))
        {
            continue;
        }
        ++reportable.usable_targets;
        if (has_reportable_speed(stats, now))
        {
            reportable.measured.push_back(index);
        }
    }
}

/// Moves an entry of \p entries from the place \p next on, selected by \p random, to that
/// place.
template <class Entry>
void draw_next(std::vector<Entry>& entries, std::size_t next, std::uint64_t random)
{
    const std::size_t drawn = next + hash_pair(random, next) % (entries.size() - next);
    std::swap(entries[next], entries[drawn]);
}

/// Returns the newest of \p doubts, followed by others up to \p max_count.
std::vector<target_evidence> select_doubts(std::vector<target_evidence> doubts,
                                           const evidence_request& request)
{
    const auto newest =
        std::min_element(doubts.begin(), doubts.end(),
                         [](const target_evidence& left, const target_evidence& right)
                         { return left.age < right.age; });
    if (newest == doubts.end() || request.max_count == 0)
    {
        return {};
    }
    std::iter_swap(doubts.begin(), newest);
    const std::size_t count = std::min(doubts.size(), request.max_count);
    for (std::size_t i = 1; i < count; ++i)
    {
        draw_next(doubts, i, request.random);
    }
    doubts.resize(count);
    return doubts;
}

/// Adds speeds up to the limit of \p request to \p result. A target that is no longer
/// usable, or whose evidence has faded since the review, is passed over.
void add_speeds(std::vector<target_evidence>& result, const target_selector& selector,
                const target_directory& directory, const evidence_request& request,
                time_point now)
{
    std::vector<target_index> left = selector.reportable.measured;
    for (std::size_t i = 0; i < left.size() && result.size() < request.max_count; ++i)
    {
        draw_next(left, i, request.random);
        const known_target& target = directory.targets[left[i]];
        const target_stats& stats = selector.stats[left[i]];
        if (is_usable(target, stats, now) && has_reportable_speed(stats, now))
        {
            result.push_back(speed_of_target(target, stats));
        }
    }
}

bool is_valid(const target_evidence& evidence)
{
    switch (evidence.kind)
    {
    case evidence_kind::unanswered:
    case evidence_kind::quick_answers:
        return evidence.level > 0;
    case evidence_kind::speed:
        return std::abs(evidence.level) <= max_speed_level;
    }
    return false;
}

/// Returns whether another of \p all is about the same target and of the same kind.
bool is_contradicted(std::span<const target_evidence> all,
                     const target_evidence& evidence)
{
    return 1 < std::count_if(all.begin(), all.end(),
                             [&](const target_evidence& each) {
                                 return each.target == evidence.target &&
                                        each.kind == evidence.kind;
                             });
}

/// The evidence of one heartbeat and what it is checked against.
struct evidence_check
{
    const target_directory& directory;
    bool is_remote = false;
    std::span<const target_evidence> all;
};

/// Returns why \p evidence, an entry of \p check, is to be dropped; unset: it is not.
std::optional<evidence_drop> reason_to_drop(const evidence_check& check,
                                            const target_evidence& evidence)
{
    if (check.is_remote)
    {
        return evidence_drop::remote;
    }
    if (!is_valid(evidence))
    {
        return evidence_drop::malformed;
    }
    if (is_contradicted(check.all, evidence))
    {
        return evidence_drop::contradictory;
    }
    if (evidence.age >= max_doubt_age || evidence.age < duration(0))
    {
        return evidence_drop::too_old;
    }
    const target_index* const index = find_by_token(check.directory, evidence.target);
    if (index == nullptr)
    {
        return evidence_drop::unknown_target;
    }
    const target_record& record = check.directory.targets[*index].record;
    if (incarnation_check(record.incarnation) != evidence.incarnation)
    {
        return evidence_drop::other_incarnation;
    }
    return std::nullopt;
}

} // namespace

std::uint16_t incarnation_check(std::uint64_t incarnation)
{
    return static_cast<std::uint16_t>(hash_pair(incarnation, 0));
}

std::vector<target_evidence> evidence_to_report(const flow_steering& steering,
                                                const target_directory& directory,
                                                const evidence_request& request,
                                                time_point now)
{
    const target_selector& selector = steering.selector;
    if (!selector.options.uses_peer_evidence)
    {
        return {};
    }
    const reportable_evidence& reportable = selector.reportable;
    const bool is_doubtful_itself =
        is_rehashing(steering, now) ||
        is_data_centre_suspect(selector, selector.local_data_centre) ||
        static_cast<double>(reportable.doubts.size()) >
            max_reported_share * static_cast<double>(reportable.usable_targets);
    std::vector<target_evidence> result;
    if (!is_doubtful_itself)
    {
        result = select_doubts(reportable.doubts, request);
    }
    add_speeds(result, selector, directory, request, now);
    return result;
}

void review_evidence_to_report(target_selector& selector,
                               const target_directory& directory, time_point now)
{
    if (!selector.options.uses_peer_evidence)
    {
        return;
    }
    const duration interval =
        review_interval(selector.stats.size(), reviewed_targets_per_second);
    if (now >= selector.reportable.measured_at + interval)
    {
        review_measured_targets(selector, directory, now);
    }
    review_doubts(selector, directory, now);
}

std::string_view to_string(evidence_drop reason) noexcept
{
    switch (reason)
    {
    case evidence_drop::malformed:
        return "malformed";
    case evidence_drop::too_many:
        return "too_many";
    case evidence_drop::contradictory:
        return "contradictory";
    case evidence_drop::remote:
        return "remote";
    case evidence_drop::too_old:
        return "too_old";
    case evidence_drop::unknown_target:
        return "unknown_target";
    case evidence_drop::other_incarnation:
        break;
    }
    return "other_incarnation";
}

void record_evidence(target_selector& selector, const target_directory& directory,
                     const fleet_peer& peer, std::span<const target_evidence> evidence,
                     evidence_counts& counts, time_point now)
{
    if (!selector.options.uses_peer_evidence)
    {
        return;
    }
    const auto drop = [&](evidence_drop reason, std::size_t entries)
    {
        counts.dropped[static_cast<std::size_t>(reason)] += entries;
    };
    const std::size_t read = std::min(evidence.size(), max_evidence_per_heartbeat);
    drop(evidence_drop::too_many, evidence.size() - read);
    const evidence_check check{.directory = directory,
                               .is_remote =
                                   peer.data_centre != selector.local_data_centre,
                               .all = evidence.first(read)};
    for (const target_evidence& each : check.all)
    {
        if (const auto reason = reason_to_drop(check, each))
        {
            drop(*reason, 1);
            continue;
        }
        ++counts.accepted;
        target_stats& stats =
            stats_of(selector, directory, *find_by_token(directory, each.target));
        record_report(stats.peer_reports, {.peer = peer.instance,
                                           .kind = each.kind,
                                           .log_slowness = each.level * log_slowness_step,
                                           .seen_at = now - each.age});
        stats.speed.reported = reported_speed(stats.peer_reports, now);
        stats.estimate.is_outdated = true;
    }
}

void forget_evidence_of(target_selector& selector, instance_id peer)
{
    for (target_stats& each : selector.stats)
    {
        forget_peer(each.peer_reports, peer);
    }
}

void forget_silent_evidence(target_selector& selector, const fleet_peers& fleet,
                            time_point now)
{
    if (!selector.options.uses_peer_evidence)
    {
        return;
    }
    const auto is_silent = [&](const peer_report& report)
    {
        if (report.peer == instance_id())
        {
            return false;
        }
        const auto found = fleet.peers.find(report.peer);
        return found == fleet.peers.end() || !is_live(fleet, found->second, now);
    };
    for (target_stats& each : selector.stats)
    {
        for (peer_report& report : each.peer_reports.doubts)
        {
            report = is_silent(report) ? peer_report() : report;
        }
        for (peer_report& report : each.peer_reports.speeds)
        {
            report = is_silent(report) ? peer_report() : report;
        }
        each.speed.reported = reported_speed(each.peer_reports, now);
        each.estimate.is_outdated = true;
    }
}

} // namespace kumquatpath
