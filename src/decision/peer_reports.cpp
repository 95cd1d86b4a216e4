#include <kumquatpath/decision/peer_reports.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatpath
{
namespace
{

/// The weight, in answers, of one peer's report of a speed.
constexpr double answers_per_speed_report = 1;
constexpr std::size_t min_speed_reports = 2;

bool is_free(const peer_report& report)
{
    return report.peer == instance_id();
}

bool is_refuted(const peer_report& report, const own_success_times& own)
{
    return report.kind == evidence_kind::unanswered
               ? own.opening_answered > report.seen_at
               : own.real_answer > report.seen_at;
}

} // namespace

std::uint32_t peers_reporting_doubt(const target_peer_reports& known,
                                    const own_success_times& own, time_point now)
{
    if (now >= known.doubts_until)
    {
        return 0;
    }
    const auto counts = [&](const peer_report& each)
    {
        return !is_free(each) && now < each.seen_at + max_doubt_age &&
               !is_refuted(each, own);
    };
    return static_cast<std::uint32_t>(
        std::count_if(known.doubts.begin(), known.doubts.end(), counts));
}

duration max_age_of(evidence_kind kind)
{
    return kind == evidence_kind::speed ? max_speed_report_age : max_doubt_age;
}

speed_evidence reported_speed(const target_peer_reports& known, time_point now)
{
    std::array<double, max_reports_per_target> values;
    values.fill(std::numeric_limits<double>::infinity());
    std::size_t count = 0;
    time_point newest;
    for (const peer_report& each : known.speeds)
    {
        if (!is_free(each) && now < each.seen_at + max_speed_report_age)
        {
            values[count++] = each.ln_slowness;
            newest = std::max(newest, each.seen_at);
        }
    }
    if (count < min_speed_reports)
    {
        return {};
    }
    std::sort(values.begin(), values.end());
    const double upper = values[count / 2];
    const double lower = values[(count - 1) / 2];
    const bool is_usual_between = lower < 0 && upper > 0;
    const double nearer = std::abs(lower) < std::abs(upper) ? lower : upper;
    return {.ln_slowness = is_usual_between ? 0 : nearer,
            .answers = answers_per_speed_report * static_cast<double>(count),
            .updated_at = newest};
}

void record_report(target_peer_reports& known, const peer_report& report)
{
    target_peer_reports::reports& reports =
        report.kind == evidence_kind::speed ? known.speeds : known.doubts;
    auto place =
        std::find_if(reports.begin(), reports.end(),
                     [&](const peer_report& each) { return each.peer == report.peer; });
    if (place == reports.end())
    {
        // A free entry is older than any report.
        place = std::min_element(reports.begin(), reports.end(),
                                 [](const peer_report& left, const peer_report& right)
                                 { return left.seen_at < right.seen_at; });
    }
    if (report.seen_at < place->seen_at)
    {
        return;
    }
    *place = report;
    if (report.kind != evidence_kind::speed)
    {
        known.doubts_until = std::max(known.doubts_until, report.seen_at + max_doubt_age);
    }
}

} // namespace kumquatpath
