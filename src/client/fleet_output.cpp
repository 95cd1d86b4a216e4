/// \file
/// How the state of the instances is printed.

#include "client/fleet.hpp"

#include <boost/algorithm/string/join.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <set>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

json::object to_json(const instance_status& status)
{
    json::object line = {{"instance", status.instance.name},
                         {"data_centre", status.instance.data_centre},
                         {"listed", status.instance.state == platform_instance_state::live
                                        ? "live"
                                        : "leaving"},
                         {"reached", status.report.has_value()}};
    if (!status.report)
    {
        return line;
    }
    line["generation"] = status.report->generation.value;
    line["switched"] = status.report->switched.value;
    line["leaving"] = status.report->is_leaving;
    line["claims"] = status.report->may_claim;
    json::array members;
    for (const seen_member& each : status.report->members)
    {
        members.push_back(
            json::object{{"instance", each.instance}, {"state", each.state}});
    }
    line["members"] = std::move(members);
    json::array drains;
    for (const seen_drain& each : status.report->drains)
    {
        drains.push_back(json::object{
            {"kind", each.kind}, {"name", each.name}, {"waits_for", each.waits_for}});
    }
    line["drains"] = std::move(drains);
    return line;
}

std::string state_of(const instance_status& status, generation in_force)
{
    if (!status.report)
    {
        return "NOT REACHED";
    }
    if (status.report->is_leaving)
    {
        return "leaving";
    }
    if (status.report->generation < in_force)
    {
        return "BEHIND";
    }
    if (status.report->switched < in_force)
    {
        return "switching";
    }
    return status.report->may_claim ? "ok" : "no claims";
}

/// Returns "8 alive, 1 suspect (entry-4)"; the names are those of all that are not alive.
std::string members_of(const instance_status& status)
{
    if (!status.report)
    {
        return "-";
    }
    std::map<std::string, std::vector<std::string>> by_state;
    for (const seen_member& each : status.report->members)
    {
        by_state[each.state].push_back(each.instance);
    }
    std::string text;
    for (const auto& [state, names] : by_state)
    {
        text += (text.empty() ? "" : ", ") + std::to_string(names.size()) + ' ' + state;
        text += state == "alive" ? "" : " (" + boost::algorithm::join(names, " ") + ')';
    }
    return text.empty() ? "none" : text;
}

void print_drains(std::ostream& out, const std::vector<instance_status>& statuses)
{
    bool found = false;
    for (const instance_status& status : statuses)
    {
        for (const seen_drain& each :
             status.report ? status.report->drains : std::vector<seen_drain>())
        {
            out << (found ? "" : "\nDrains in progress:\n") << "  " << each.kind << ' '
                << each.name << " on " << status.instance.name << " waits for "
                << each.waits_for << '\n';
            found = true;
        }
    }
    if (!found)
    {
        out << "\nNo drain in progress.\n";
    }
}

void print_names(std::ostream& out, std::string_view what,
                 const std::vector<std::string>& names)
{
    if (names.empty())
    {
        return;
    }
    out << "  " << what << ':';
    for (const std::string& each : names)
    {
        out << ' ' << each;
    }
    out << '\n';
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
            list.push_back(to_json(each));
        }
        out << json::serialize(json::object{{"generation", in_force.value},
                                            {"instances", std::move(list)}})
            << '\n';
        return;
    }
    std::size_t widest = std::string_view("instance").size();
    std::size_t widest_centre = std::string_view("data centre").size();
    for (const instance_status& each : statuses)
    {
        widest = std::max(widest, each.instance.name.size());
        widest_centre = std::max(widest_centre, each.instance.data_centre.size());
    }
    constexpr int number_width = 12;
    constexpr int state_width = 13;
    const auto line = [&](const std::string& name, const std::string& data_centre,
                          const std::string& number, const std::string& state,
                          const std::string& members)
    {
        out << std::left << std::setw(static_cast<int>(widest + 2)) << name
            << std::setw(static_cast<int>(widest_centre + 2)) << data_centre
            << std::setw(number_width) << number << std::setw(state_width) << state
            << members << '\n';
    };
    out << "The latest generation is " << in_force.value << ".\n\n";
    line("instance", "data centre", "generation", "state", "members");
    for (const instance_status& each : statuses)
    {
        line(each.instance.name, each.instance.data_centre,
             each.report ? std::to_string(each.report->generation.value) : "-",
             state_of(each, in_force), members_of(each));
    }
    print_drains(out, statuses);
}

void print_progress(std::ostream& out, const generation_progress& progress,
                    generation wanted)
{
    const std::size_t all =
        progress.in_force + progress.behind.size() + progress.unreachable.size();
    out << "Generation " << wanted.value << " is in force on " << progress.in_force
        << " of " << all << " instances.\n";
    print_names(out, "not yet", progress.behind);
    print_names(out, "not reached", progress.unreachable);
    out.flush();
}

} // namespace kumquatpath
