#include "packet_worker.hpp"

#include <kumquatpath/edge/log.hpp>

namespace kumquatpath
{
namespace
{

void log_suspect(const known_target& target, const target_stats& evidence, time_point now)
{
    boost::json::object fields = {{"target", to_string(target.record.address)},
                                  {"overdue", evidence.overdue_openings}};
    if (evidence.answered_opening_sent_at != time_point())
    {
        fields["last_answer_age_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - evidence.answered_opening_sent_at)
                .count();
    }
    log(log_level::warning, is_suspect(evidence) ? "target_suspect" : "target_trusted",
        std::move(fields));
}

void log_failing(const known_target& target, const target_stats& evidence,
                 double usual_share, time_point now)
{
    const answer_counts counts = decayed(evidence.answers, now);
    log(log_level::warning, evidence.is_failing ? "target_failing" : "target_working",
        {{"target", to_string(target.record.address)},
         {"quick_answers", counts.quick},
         {"answers", counts.total},
         {"usual_share", usual_share}});
}

constexpr duration waiting_log_interval = std::chrono::seconds(1);

} // namespace

void packet_worker::log_waiting_openings(time_point now)
{
    if (now < next_waiting_log_at_ || waiting_.openings.empty())
    {
        return;
    }
    next_waiting_log_at_ = now + waiting_log_interval;
    for (const auto& [service, evidence] : self_.steering.selector.services)
    {
        log(log_level::info, "openings_wait",
            {{"service", service.value},
             {"waiting", waiting_.openings.size()},
             {"under_way", evidence.limit.in_flight},
             {"limit", evidence.limit.max_in_flight},
             {"least", evidence.limit.min_in_flight},
             {"goal_share", evidence.limit.goal_share},
             {"mean_ms", evidence.mean_response_time_ms}});
    }
}

void packet_worker::log_target_changes(time_point now)
{
    target_selector& choice = self_.steering.selector;
    logged_target_states_.resize(choice.stats.size());
    for (std::size_t i = 0; i < logged_target_states_.size(); ++i)
    {
        const target_stats& evidence = choice.stats[i];
        const known_target& target = self_.directory.targets[i];
        if (is_suspect(evidence) != logged_target_states_[i].is_suspect)
        {
            logged_target_states_[i].is_suspect = is_suspect(evidence);
            log_suspect(target, evidence, now);
        }
        if (evidence.is_failing != logged_target_states_[i].is_failing)
        {
            logged_target_states_[i].is_failing = evidence.is_failing;
            log_failing(target, evidence,
                        choice.services[target.record.service].quick_share, now);
        }
    }
}

} // namespace kumquatpath
