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

/// Adds the doubt that \p stats give about \p target to \p doubts, if there is one.
void add_doubt(std::vector<target_evidence>& doubts, const target_selector& selector,
               const known_target& target, const target_stats& stats, time_point now)
{
    if (stats.overdue_openings > 0 && is_recent(stats.overdue_opening_sent_at, now) &&
        !is_data_centre_suspect(selector, target.record.data_centre))
    {
        target_evidence doubt =
            make_evidence(target, evidence_kind::unanswered, stats.overdue_openings);
        doubt.age = age_of(stats.overdue_opening_sent_at, now);
        doubts.push_back(doubt);
        return;
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
        doubts.push_back(doubt);
    }
}

void add_speed(std::vector<target_evidence>& speeds, const known_target& target,
               const target_stats& stats, time_point now)
{
    const speed_evidence own = decayed(stats.speed.own, now);
    if (own.answers >= min_reported_answers)
    {
        const double level = std::round(own.log_slowness / log_slowness_step);
        speeds.push_back(
            make_evidence(target, evidence_kind::speed,
                          std::clamp<double>(level, -max_speed_level, max_speed_level)));
    }
}

/// Moves \p count entries selected by \p random to the start of \p entries and removes
/// the others.
void keep_some(std::vector<target_evidence>& entries, std::size_t count,
               std::uint64_t random)
{
    const auto order = [random](const target_evidence& each)
    {
        return hash_pair(random, each.target.value);
    };
    std::sort(entries.begin(), entries.end(),
              [&](const target_evidence& left, const target_evidence& right)
              { return order(left) < order(right); });
    entries.resize(std::min(entries.size(), count));
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
    std::vector<target_evidence> selected{*newest};
    doubts.erase(newest);
    keep_some(doubts, request.max_count - 1, request.random);
    selected.insert(selected.end(), doubts.begin(), doubts.end());
    return selected;
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
    std::vector<target_evidence> doubts;
    std::vector<target_evidence> speeds;
    double usable = 0;
    const std::size_t count = std::min(selector.stats.size(), directory.targets.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        const known_target& target = directory.targets[i];
        const target_stats& stats = selector.stats[i];
        if (takes_new_flows(target, now) && stats.key == target.record.key &&
            stats.incarnation == target.record.incarnation)
        {
            usable += 1;
            add_doubt(doubts, selector, target, stats, now);
            add_speed(speeds, target, stats, now);
        }
    }
    const bool is_doubtful_itself =
        is_rehashing(steering, now) ||
        is_data_centre_suspect(selector, selector.local_data_centre) ||
        static_cast<double>(doubts.size()) > max_reported_share * usable;
    if (is_doubtful_itself)
    {
        doubts.clear();
    }
    std::vector<target_evidence> result = select_doubts(std::move(doubts), request);
    keep_some(speeds, request.max_count - result.size(), request.random);
    result.insert(result.end(), speeds.begin(), speeds.end());
    return result;
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
