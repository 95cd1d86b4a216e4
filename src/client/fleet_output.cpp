#include "client/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

/// The widths of the table's columns, in characters.
constexpr int name_width = 24;
constexpr int word_width = 14;
constexpr int number_width = 12;

/// What to do about a generation that is in force but lost in the store.
constexpr std::string_view lost_generation_advice =
    "The store came back from an older copy. Submit the configuration again.\n";

std::string_view state_of(const instance_report& report)
{
    if (report.is_leaving)
    {
        return "leaving";
    }
    return report.is_ready ? "ready" : "not ready";
}

json::array json_of(const std::vector<evacuation_report>& evacuations)
{
    json::array list;
    for (const evacuation_report& each : evacuations)
    {
        list.push_back(json::object{{"data_centre", each.data_centre},
                                    {"revision", each.revision},
                                    {"age_ms", each.age.count()}});
    }
    return list;
}

json::object json_of(const instance_status& status)
{
    json::object object = {{"address", to_string(status.address)},
                           {"reached", status.report.has_value()}};
    if (status.report)
    {
        const instance_report& report = *status.report;
        object["instance"] = report.name;
        object["data_centre"] = report.data_centre;
        object["generation"] = report.generation.value;
        object["state_age_ms"] = report.state_age.count();
        object["ahead_of_store"] = report.is_ahead_of_store;
        object["state"] = state_of(report);
        object["flows"] = report.flows;
        object["targets"] = report.targets;
        object["suspects"] = report.suspects;
        object["evacuations"] = json_of(report.evacuations);
        object["peers"] = report.peers.size();
    }
    return object;
}

void print_line(std::ostream& out, const instance_status& status, generation in_force)
{
    out << std::left << std::setw(name_width) << name_of(status);
    if (!status.report)
    {
        out << "not reached\n";
        return;
    }
    const instance_report& report = *status.report;
    out << std::setw(word_width) << report.data_centre << std::setw(word_width)
        << state_of(report) << std::right << std::setw(number_width)
        << report.generation.value << std::setw(number_width) << report.state_age.count()
        << std::setw(number_width) << report.flows << std::setw(number_width)
        << report.targets << std::setw(number_width) << report.suspects
        << std::setw(number_width) << report.peers.size()
        << (report.generation < in_force ? "  behind" : "") << "\n";
}

void print_names(std::ostream& out, std::string_view label,
                 const std::vector<std::string>& names)
{
    if (names.empty())
    {
        return;
    }
    out << "  " << label << ":";
    for (const std::string& each : names)
    {
        out << " " << each;
    }
    out << "\n";
}

/// An evacuation that some instances report.
struct fleet_evacuation
{
    std::uint64_t revision = 0;
    std::chrono::milliseconds age{0};
    std::size_t instances = 0;
};

/// Prints a line for each evacuation that an instance reports, with the newest revision
/// and the greatest age.
void print_evacuations(std::ostream& out, const std::vector<instance_status>& statuses)
{
    std::map<std::string, fleet_evacuation> evacuations;
    std::size_t reached = 0;
    for (const instance_status& status : statuses)
    {
        if (!status.report)
        {
            continue;
        }
        ++reached;
        for (const evacuation_report& each : status.report->evacuations)
        {
            fleet_evacuation& known = evacuations[each.data_centre];
            known.revision = std::max(known.revision, each.revision);
            known.age = std::max(known.age, each.age);
            ++known.instances;
        }
    }
    for (const auto& [data_centre, each] : evacuations)
    {
        out << "evacuated: " << (data_centre.empty() ? "(unnamed)" : data_centre)
            << ", revision " << each.revision << ", for " << each.age.count()
            << " ms, on " << each.instances << " of " << reached << " instances\n";
    }
}

/// Prints how many instances serve with \p in_force although the store has lost it.
void print_lost_generation(std::ostream& out,
                           const std::vector<instance_status>& statuses,
                           generation in_force)
{
    const std::size_t instances = progress_of(statuses, in_force).not_stored.size();
    if (instances > 0)
    {
        out << "generation " << in_force.value << " is in force on " << instances
            << " of " << statuses.size() << " instances but lost in the store\n"
            << lost_generation_advice;
    }
}

} // namespace

void print_status(std::ostream& out, const std::vector<instance_status>& statuses,
                  generation in_force, bool as_json)
{
    if (as_json)
    {
        json::array list;
        for (const instance_status& each : statuses)
        {
            list.push_back(json_of(each));
        }
        out << json::serialize(
                   json::object{{"generation", in_force.value}, {"instances", list}})
            << '\n';
        return;
    }
    out << "generation " << in_force.value << "\n";
    out << std::left << std::setw(name_width) << "instance" << std::setw(word_width)
        << "data centre" << std::setw(word_width) << "state" << std::right;
    for (const char* const column :
         {"generation", "age ms", "flows", "targets", "suspects", "peers"})
    {
        out << std::setw(number_width) << column;
    }
    out << "\n";
    for (const instance_status& each : statuses)
    {
        print_line(out, each, in_force);
    }
    print_evacuations(out, statuses);
    print_lost_generation(out, statuses, in_force);
}

void print_progress(std::ostream& out, const generation_progress& progress,
                    generation wanted)
{
    const std::size_t total = progress.in_force + progress.not_stored.size() +
                              progress.behind.size() + progress.unreachable.size();
    out << "generation " << wanted.value << " is in force on " << progress.in_force
        << " of " << total << " instances\n";
    print_names(out, "behind", progress.behind);
    print_names(out, "not reached", progress.unreachable);
    print_names(out, "serve a generation that the store has lost", progress.not_stored);
    if (!progress.not_stored.empty())
    {
        out << lost_generation_advice;
    }
}

} // namespace kumquatpath
