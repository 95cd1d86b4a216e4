#include <kumquatpath/decision/target_health.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The number of overdue openings from which a target is avoided.
constexpr std::uint32_t suspect_after_overdue_openings = 2;
/// The number of overdue openings from which all targets of a data centre are avoided.
constexpr std::uint32_t data_centre_suspect_after_overdue_openings = 3;
/// A target that has been known for a shorter time is unproven.
constexpr duration proving_time = std::chrono::seconds(3);

} // namespace

bool is_data_centre_suspect(const target_selector& selector, data_centre_id id)
{
    const auto found = selector.data_centres.find(id);
    return found != selector.data_centres.end() &&
           found->second.overdue_openings >= data_centre_suspect_after_overdue_openings;
}

bool has_suspect_data_centre(const target_selector& selector)
{
    return std::any_of(selector.data_centres.begin(), selector.data_centres.end(),
                       [&](const auto& each)
                       { return is_data_centre_suspect(selector, each.first); });
}

bool is_suspect(const target_stats& target)
{
    return target.overdue_openings >= suspect_after_overdue_openings;
}

bool is_unproven(const target_stats& stats, double mean_quick_share, time_point now)
{
    return !stats.known_since || now < *stats.known_since + proving_time ||
           stats.overdue_openings > 0 ||
           has_doubtful_answers(stats.answers, mean_quick_share, now);
}

std::uint32_t reports_against(const target_stats& stats, time_point now)
{
    const std::uint32_t peers =
        peers_reporting_doubt(stats.peer_reports,
                              {.opening_answered = stats.answered_opening_sent_at,
                               .real_answer = stats.real_answer_at},
                              now);
    return peers == 0 ? 0 : peers + (stats.overdue_openings > 0 ? 1U : 0U);
}

} // namespace kumquatpath
