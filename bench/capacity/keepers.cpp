/// \file
/// Keepers of slots: what a change of view costs, and the bytes of their messages.

#include <kumquatpath/decision/flow_router.hpp>

#include <capacity/bytes_on_wire.hpp>
#include <capacity/sample_fleet.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <map>
#include <random>

namespace kumquatpath::bench
{
namespace
{

constexpr std::array<std::size_t, 5> member_counts = {9, 71, 142, 285, 570};
constexpr std::array<std::size_t, 4> held_counts = {10'000, 50'000, 100'000, 200'000};
constexpr std::array<std::size_t, 4> entry_counts = {1, 10, 40, 100};
constexpr double nanoseconds_per_microsecond = 1e3;
constexpr std::size_t rounds = 7;

double microseconds_of(double nanoseconds)
{
    return nanoseconds / nanoseconds_per_microsecond;
}

/// One member leaves the view and comes back: each is one change.
void measure_view_change(ledger& book)
{
    std::vector<cost_point> points;
    for (const std::size_t count : member_counts)
    {
        keeper_groups groups{};
        const member_view whole = sample_view(count);
        member_view fewer = whole;
        std::erase_if(fewer.members, [](const member& each)
                      { return each.instance == sample_instance(1); });
        time_point now{};
        const double pair = nanoseconds_per_call(rounds, 1,
                                                 [&]
                                                 {
                                                     now += std::chrono::seconds(1);
                                                     adopt_keepers(groups, fewer, now);
                                                     adopt_keepers(groups, whole, now);
                                                 });
        points.push_back({static_cast<double>(count), microseconds_of(pair) / 2});
    }
    book.add_line({"keepers/view_change", "member", "us"}, points);
}

/// The walk over the flows that are held, when the keepers have changed.
void measure_table_walk(ledger& book)
{
    const configuration whole = sample_configuration({.services = 490});
    std::mt19937_64 random(book.seed());
    std::vector<cost_point> points;
    for (const std::size_t count : held_counts)
    {
        flow_router router =
            make_flow_router({.self = sample_instance(0), .most_flows = count});
        time_point now{std::chrono::seconds(1)};
        adopt_plan(router, plan_placements(whole, nullptr, wall_time{}), whole.generation,
                   now);
        for (std::size_t i = 0; i < count; ++i)
        {
            flow_entry* const entry = insert_flow(
                router.flows, {whole.services[i % 490].id, flow_id{random()}});
            entry->role = flow_role::cached;
        }
        const member_view all = sample_view(9);
        member_view fewer = all;
        std::erase_if(fewer.members, [](const member& each)
                      { return each.instance == sample_instance(1); });
        action_list actions;
        const double pair =
            nanoseconds_per_call(rounds, 1,
                                 [&]
                                 {
                                     actions.clear();
                                     now += std::chrono::seconds(1);
                                     adopt_view(router, fewer, now, actions);
                                     adopt_view(router, all, now, actions);
                                 });
        points.push_back({static_cast<double>(count), microseconds_of(pair) / 2});
    }
    book.add_line({"keepers/table_walk", "flow held", "us"}, points);
}

void measure_messages(ledger& book)
{
    std::vector<cost_point> listing;
    for (const std::size_t count : entry_counts)
    {
        const flow_listing message{.service = {1},
                                   .entries = std::vector<flow_listing::entry>(count)};
        listing.push_back(
            {static_cast<double>(count), bytes_on_wire(peer_message(message))});
    }
    book.add_line({"keepers/listing", "entry", "bytes"}, listing);
    book.tell("keepers/hint", "bytes of a message",
              bytes_on_wire(peer_message(flow_hint{{1}, {1}, {1}})), "bytes");
    book.tell("keepers/listing_request", "bytes of a message",
              bytes_on_wire(peer_message(listing_request{})), "bytes");
}

/// The groups that one instance keeps, and those that lose both keepers with a data
/// centre.
void measure_groups(ledger& book)
{
    const member_view view = sample_view(static_cast<std::size_t>(instances));
    const data_centre_id lost = view.members.front().data_centre;
    double kept_most = 0;
    double without_any = 0;
    std::map<instance_id, double> kept;
    std::map<instance_id, data_centre_id> centres;
    for (const member& each : view.members)
    {
        centres[each.instance] = each.data_centre;
    }
    for (std::uint16_t group = 0; group < keeper_group_count; ++group)
    {
        const keepers pair = keepers_of(view, group);
        kept_most = std::max(kept_most, ++kept[pair.first]);
        const bool both = centres[pair.first] == lost && centres[pair.replica] == lost;
        without_any += both ? 1 : 0;
    }
    book.tell("keepers/groups", "most groups of one instance at 570", kept_most,
              "groups");
    book.tell("keepers/groups", "groups that lose both keepers with a data centre",
              without_any, "groups");
}

} // namespace

void measure_keepers(ledger& book)
{
    measure_view_change(book);
    measure_table_walk(book);
    measure_messages(book);
    measure_groups(book);
}

} // namespace kumquatpath::bench
