#include "packet_worker.hpp"

#include <kumquatpath/decision/address_claims.hpp>
#include <kumquatpath/edge/log.hpp>

namespace kumquatpath
{
namespace
{

void log_suspect(const known_target& target, const target_stats& stats, time_point now)
{
    boost::json::object fields = {{"target", to_string(target.record.address)},
                                  {"overdue", stats.overdue_openings}};
    if (stats.answered_opening_sent_at != time_point())
    {
        fields["last_answer_age_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - stats.answered_opening_sent_at)
                .count();
    }
    log(log_level::warning, is_suspect(stats) ? "target_suspect" : "target_trusted",
        std::move(fields));
}

void log_failing(const known_target& target, const target_stats& stats,
                 double mean_quick_share, time_point now)
{
    const answer_counts counts = decayed(stats.answers, now);
    log(log_level::warning, stats.is_failing ? "target_failing" : "target_working",
        {{"target", to_string(target.record.address)},
         {"quick_answers", counts.quick},
         {"answers", counts.total},
         {"usual_share", mean_quick_share}});
}

constexpr duration waiting_log_interval = std::chrono::seconds(1);
/// The targets of a data centre may start together, so their warm-ups share a line.
constexpr duration warm_up_log_interval = std::chrono::seconds(1);
constexpr duration unnamed_service_log_interval = std::chrono::seconds(1);

} // namespace

void packet_worker::log_waiting_openings(time_point now)
{
    if (now < next_waiting_log_at_ || opening_queue_.openings.empty())
    {
        return;
    }
    next_waiting_log_at_ = now + waiting_log_interval;
    for (const auto& [service, stats] : self_.steering.selector.services)
    {
        log(log_level::info, "openings_wait",
            {{"service", service.value},
             {"waiting", opening_queue_.openings.size()},
             {"under_way", stats.limit.in_flight},
             {"limit", stats.limit.max_in_flight},
             {"least", stats.limit.min_in_flight},
             {"goal_share", stats.limit.goal_share},
             {"mean_ms", stats.mean_response_time_ms}});
    }
}

void packet_worker::log_target_changes(time_point now)
{
    target_selector& selector = self_.steering.selector;
    logged_target_states_.resize(selector.stats.size());
    for (std::size_t i = 0; i < logged_target_states_.size(); ++i)
    {
        const target_stats& stats = selector.stats[i];
        const known_target& target = self_.directory.targets[i];
        if (is_suspect(stats) != logged_target_states_[i].is_suspect)
        {
            logged_target_states_[i].is_suspect = is_suspect(stats);
            log_suspect(target, stats, now);
        }
        if (stats.is_failing != logged_target_states_[i].is_failing)
        {
            logged_target_states_[i].is_failing = stats.is_failing;
            log_failing(target, stats,
                        selector.services[target.record.service].quick_share, now);
        }
    }
    log_warm_ups(now);
    log_unnamed_services(now);
}

void packet_worker::log_unnamed_services(time_point now)
{
    if (now < next_unnamed_service_log_at_)
    {
        return;
    }
    next_unnamed_service_log_at_ = now + unnamed_service_log_interval;
    const std::size_t targets = self_.configuration.table
                                    ? count_targets_of_unnamed_services(self_.directory)
                                    : 0;
    if (targets != logged_unnamed_service_targets_)
    {
        logged_unnamed_service_targets_ = targets;
        log(log_level::warning, "target_service_unnamed",
            {{"targets", targets},
             {"generation", self_.configuration.table->generation.value}});
    }
}

void packet_worker::log_warm_ups(time_point now)
{
    if (now < next_warm_up_log_at_)
    {
        return;
    }
    next_warm_up_log_at_ = now + warm_up_log_interval;
    const warm_up_summary cold =
        summarize_warm_ups(self_.directory, self_.configuration.table.get(), now);
    if (cold.targets != logged_cold_targets_)
    {
        logged_cold_targets_ = cold.targets;
        log(log_level::info, "targets_cold",
            {{"targets", cold.targets},
             {"longest_left_ms", milliseconds_of(cold.longest_left)}});
    }
    if (self_.directory.warm_ups_shortened > 0 && !is_shortened_warm_up_logged_)
    {
        is_shortened_warm_up_logged_ = true;
        log(log_level::warning, "warm_up_shortened",
            {{"longest_s", max_warm_up.count()}});
    }
}

} // namespace kumquatpath
