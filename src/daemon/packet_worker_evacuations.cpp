#include "packet_worker.hpp"

#include <kumquatpath/decision/target_availability.hpp>
#include <kumquatpath/edge/log.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

std::ptrdiff_t count_targets_of(const target_directory& directory,
                                data_centre_id data_centre)
{
    return std::count_if(directory.targets.begin(), directory.targets.end(),
                         [&](const known_target& each) {
                             return each.is_used &&
                                    each.record.data_centre == data_centre;
                         });
}

} // namespace

void packet_worker::report_evacuations(std::string_view from,
                                       const std::vector<evacuation_change>& changes)
{
    for (const evacuation_change& each : changes)
    {
        const auto targets = count_targets_of(self_.directory, each.data_centre);
        log(log_level::info,
            each.is_withdrawn ? "evacuation_withdrawn" : "evacuation_in_force",
            {{"from", from},
             {"data_centre", name_of(each)},
             {"revision", each.revision.value},
             {"targets", targets}});
        if (!each.is_withdrawn && targets == 0)
        {
            log(log_level::warning, "evacuation_without_targets",
                {{"data_centre", name_of(each)}, {"revision", each.revision.value}});
        }
    }
    if (self_.evacuations.ignored > 0 && !is_full_evacuation_table_logged_)
    {
        is_full_evacuation_table_logged_ = true;
        log(log_level::warning, "evacuations_ignored", {{"most", max_known_evacuations}});
    }
}

void packet_worker::log_evacuated_services(time_point now)
{
    const bool has_evacuations =
        !evacuated_services_.empty() || !evacuations_in_force(self_.evacuations).empty();
    if (!has_evacuations || self_.configuration.table == nullptr)
    {
        return;
    }
    auto evacuated =
        find_evacuated_services(*self_.configuration.table, self_.directory, now);
    for (const service_id each : evacuated)
    {
        if (!evacuated_services_.contains(each))
        {
            log(log_level::warning, "service_evacuated", {{"service", each.value}});
        }
    }
    for (const service_id each : evacuated_services_)
    {
        if (!evacuated.contains(each))
        {
            log(log_level::info, "service_no_longer_evacuated",
                {{"service", each.value}});
        }
    }
    evacuated_services_ = std::move(evacuated);
}

void packet_worker::log_cut_off(time_point now)
{
    if (self_.is_cut_off == was_cut_off_)
    {
        return;
    }
    was_cut_off_ = self_.is_cut_off;
    log(log_level::warning, was_cut_off_ ? "evacuation_suspended" : "evacuation_resumed",
        {{"data_centre", settings_.data_centre}, {"why", "data centre cut off"}});
    log_evacuated_services(now);
}

} // namespace kumquatpath
