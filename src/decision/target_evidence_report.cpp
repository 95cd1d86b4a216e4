#include <kumquatpath/decision/review_interval.hpp>
#include <kumquatpath/decision/target_evidence.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatpath
{
namespace
{

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
        has_doubtful_answers(stats.answers, mean_share, now))
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
           now < own.updated_at + max_speed_report_age &&
           decayed(own, now).answers >= min_reported_answers;
}

target_evidence measured_speed(const known_target& target, const speed_evidence& own,
                               time_point now)
{
    const double level = std::round(own.ln_slowness / ln_slowness_step);
    target_evidence speed =
        make_evidence(target, evidence_kind::speed,
                      std::clamp<double>(level, -max_speed_level, max_speed_level));
    speed.age = age_of(own.updated_at, now);
    return speed;
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
            result.push_back(measured_speed(target, stats.speed.own, now));
        }
    }
}

} // namespace

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
    const bool is_own_view_unreliable =
        is_rehashing(steering, now) ||
        is_data_centre_suspect(selector, selector.local_data_centre) ||
        static_cast<double>(reportable.doubts.size()) >
            max_reported_share * static_cast<double>(reportable.usable_targets);
    std::vector<target_evidence> result;
    if (!is_own_view_unreliable)
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

} // namespace kumquatpath
