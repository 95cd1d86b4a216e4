#include <kumquatpath/decision/target_evidence.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

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
    if (evidence.age >= max_age_of(evidence.kind) || evidence.age < duration(0))
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

void review_reported_speed(target_stats& stats, time_point now)
{
    stats.speed.reported = reported_speed(stats.peer_reports, now);
    stats.estimate.is_outdated = true;
}

} // namespace

std::uint16_t incarnation_check(std::uint64_t incarnation)
{
    return static_cast<std::uint16_t>(hash_pair(incarnation, 0));
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
                                           .ln_slowness = each.level * ln_slowness_step,
                                           .seen_at = now - each.age});
        review_reported_speed(stats, now);
    }
}

void forget_evidence_of(target_selector& selector, instance_id peer, time_point now)
{
    for (target_stats& each : selector.stats)
    {
        if (forget_reports_if(each.peer_reports, [&](const peer_report& report)
                              { return report.peer == peer; }))
        {
            review_reported_speed(each, now);
        }
    }
}

void forget_silent_evidence(target_selector& selector, const fleet_peers& fleet,
                            time_point now)
{
    if (!selector.options.uses_peer_evidence)
    {
        return;
    }
    const auto is_ended = [&](const peer_report& report)
    {
        const auto found = fleet.peers.find(report.peer);
        return now >= report.seen_at + max_age_of(report.kind) ||
               found == fleet.peers.end() || !is_live(fleet, found->second, now);
    };
    for (target_stats& each : selector.stats)
    {
        if (forget_reports_if(each.peer_reports, is_ended))
        {
            review_reported_speed(each, now);
        }
    }
}

} // namespace kumquatpath
