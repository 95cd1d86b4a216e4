/// \file
/// What each role costs at the target size, worked out from the measured lines.

#include <kumquatpath/decision/admission.hpp>
#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/decision/instance.hpp>

#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <string>
#include <vector>

namespace kumquatpath::bench
{
namespace
{

constexpr double microseconds_per_second = 1e6;
constexpr double milliseconds_per_second = 1e3;
constexpr double usual_payload = 512;
/// A restart is seen as leaving, suspect, dead and alive again.
constexpr double view_changes_per_restart = 4;
constexpr double keepers_of_a_flow = 2;
/// How long past placements are kept, in hours.
constexpr double history_hours = 1;
constexpr double hours_per_day = 24;
/// Copies of the plan that are held while one takes over from another.
constexpr double plans_held = 2;

/// What one role costs one instance.
struct role_cost
{
    double state = 0;
    double sent = 0;
    double core = 0;
};

/// What the roles need to know of flows in moved slots.
struct moved_flows
{
    /// The part of all flows that keepers list.
    double fraction = 0;
    /// Listed flows that one instance holds.
    double held = 0;
    /// Flows that one instance lists each second.
    double listed_per_second = 0;
};

moved_flows moved_flows_at(double fraction)
{
    return {.fraction = fraction,
            .held = open_flows * fraction * keepers_of_a_flow / instances,
            .listed_per_second = new_flows_per_second * fraction / instances};
}

moved_flows usually_moved(const ledger& book)
{
    const double changes = changes_per_day / hours_per_day * history_hours;
    const double of_service =
        book.figure("placement/target_withdrawn", "slots of its service moved");
    return moved_flows_at(changes / addresses * of_service);
}

moved_flows moved_by_withdrawal(const ledger& book)
{
    return moved_flows_at(book.figure("placement/data_centre_withdrawn", "slots moved"));
}

void tell_role(ledger& book, const std::string& role, const role_cost& cost)
{
    const std::string variant = "roles/" + role;
    book.tell(variant, "state", cost.state, "bytes");
    book.tell(variant, "control bytes sent", cost.sent, "bytes/s");
    book.tell(variant, "processor time for control", cost.core, "core");
}

void tell_packet_times(ledger& book)
{
    const double decode = book.line("packets/decode").at(usual_payload);
    const double decide = book.line("packets/decision").at(open_flows / instances);
    const double admit = book.line("admission/by_lanes").at(most_lanes);
    const double encode = book.line("packets/encode").at(usual_payload);
    book.tell("roles/receiving packets", "decode, decide, admit and encode one packet",
              decode + decide + admit + encode, "ns");
}

role_cost receiving_packets()
{
    const flow_router router = make_flow_router({});
    const inflight_table inflight = make_inflight_table(instance_options{}.most_inflight);
    const auto flows = router.flows.places.size() * sizeof(flow_entry);
    const auto requests = inflight.places.size() * sizeof(inflight_request);
    const auto lanes = most_lanes * sizeof(admission_lane);
    return {.state = static_cast<double>(flows + requests + lanes)};
}

double view_changes_per_second()
{
    return (restarts_per_day + failures_per_day) * view_changes_per_restart /
           seconds_per_day;
}

role_cost keeping_slots(const ledger& book)
{
    const moved_flows moved = usually_moved(book);
    const double of_view = book.line("keepers/view_change").at(instances) +
                           book.line("keepers/table_walk").at(moved.held);
    const double listing = book.line("keepers/listing").at(1);
    const double plan =
        book.figure("placement/data_centre_withdrawn", "bytes of the plan");
    return {.state = plan * plans_held + sizeof(keeper_groups),
            .sent = moved.listed_per_second *
                    (listing + book.figure("keepers/hint", "bytes of a message")),
            .core = of_view / microseconds_per_second * view_changes_per_second()};
}

role_cost member(const ledger& book)
{
    return {.state = book.line("members/memory").at(instances),
            .sent = book.figure("members/sent", "point 570 member"),
            .core = book.figure("members/core", "point 570 member")};
}

role_cost reader(const ledger& book)
{
    const double milliseconds =
        book.line("configuration/read").at(targets) +
        book.figure("placement/target_withdrawn", "time to plan the change");
    const double text = book.line("configuration/stored").at(targets);
    return {.state = text + book.line("configuration/memory").at(targets) * plans_held,
            .core = milliseconds / milliseconds_per_second * changes_per_day /
                    seconds_per_day};
}

role_cost teller(const ledger& book)
{
    const double stored = book.line("configuration/stored").at(targets);
    return {.sent = stored * changes_per_day / seconds_per_day};
}

/// A restart hands the instance's groups on, and back again.
role_cost handing_over(const ledger& book)
{
    const moved_flows moved = usually_moved(book);
    const double groups = keeper_group_count * keepers_of_a_flow / instances;
    const double flows = moved.held;
    const cost_line& listing = book.line("keepers/listing");
    const double bytes =
        groups * (book.figure("keepers/listing_request", "bytes of a message") +
                  keepers_of_a_flow * listing.at(1)) +
        flows * listing.slope;
    return {.sent = keepers_of_a_flow * bytes * (restarts_per_day + failures_per_day) /
                    instances / seconds_per_day};
}

role_cost sum(const std::vector<role_cost>& costs)
{
    role_cost all;
    for (const role_cost& each : costs)
    {
        all.state += each.state;
        all.sent += each.sent;
        all.core += each.core;
    }
    return all;
}

void tell_budgets(ledger& book, const role_cost& all)
{
    const double received = book.figure("members/received", "point 570 member") +
                            all.sent - book.figure("members/sent", "point 570 member");
    book.tell_bounded("budget/core", "share of a core", all.core, "core", core_budget);
    book.tell_bounded("budget/memory", "bytes of state", all.state, "bytes",
                      memory_budget);
    book.tell_bounded("budget/control", "bytes sent", all.sent, "bytes/s",
                      control_bytes_budget);
    book.tell_bounded("budget/control", "bytes sent and received", all.sent + received,
                      "bytes/s", control_bytes_budget);
    book.tell("budget/core", "headroom", core_budget / all.core, "times");
    book.tell("budget/memory", "headroom", memory_budget / all.state, "times");
    book.tell("budget/control", "headroom", control_bytes_budget / all.sent, "times");
}

/// The first hours after a data centre was withdrawn: new flows of moved slots are
/// listed.
void tell_withdrawal(ledger& book, const role_cost& usual)
{
    const moved_flows moved = moved_by_withdrawal(book);
    const double hints =
        std::min(moved.listed_per_second,
                 static_cast<double>(flow_router_options{}.hints_per_second));
    const double listings = moved.listed_per_second * book.line("keepers/listing").at(1) +
                            hints * book.figure("keepers/hint", "bytes of a message");
    const std::string variant = "events/data_centre_withdrawn";
    book.tell(variant, "slots moved", moved.fraction, "fraction");
    book.tell(variant, "listed flows held by one instance", moved.held, "flows");
    book.tell(variant, "flows listed by one instance in a second",
              moved.listed_per_second, "flows/s");
    book.tell_bounded(variant, "bytes sent by one instance in a second",
                      usual.sent + listings, "bytes/s", control_bytes_budget);
    book.tell(
        variant, "time to plan every service",
        book.figure("placement/data_centre_withdrawn", "time to plan every service"),
        "ms");
}

/// How many submissions the rest of the budget carries.
void tell_submissions(ledger& book, const role_cost& usual)
{
    const double each =
        book.figure("claims/messages", "bytes sent by the fleet for a submission");
    const double rest = control_bytes_budget - usual.sent;
    const double submissions = rest * instances / each;
    book.tell("budget/submissions", "submissions a second that the rest carries",
              submissions, "1/s");
    book.tell("budget/submissions", "as a part of new flows",
              submissions / new_flows_per_second, "fraction");
}

} // namespace

void work_out_roles(ledger& book)
{
    const std::vector<role_cost> costs = {receiving_packets(), keeping_slots(book),
                                          member(book),        reader(book),
                                          teller(book),        handing_over(book)};
    constexpr std::array names = {"receiving packets",
                                  "keeping slots",
                                  "member",
                                  "reader of the configuration",
                                  "teller of the configuration",
                                  "state handed over"};
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        tell_role(book, names[i], costs[i]);
    }
    tell_packet_times(book);
    const role_cost all = sum(costs);
    tell_budgets(book, all);
    tell_withdrawal(book, all);
    tell_submissions(book, all);
}

} // namespace kumquatpath::bench
