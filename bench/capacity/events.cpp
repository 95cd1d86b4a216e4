/// \file
/// The events of a bad day at the target size: what the members do in virtual time.

#include <kumquatpath/decision/keeper_groups.hpp>

#include <capacity/member_world.hpp>
#include <capacity/sample_fleet.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <algorithm>
#include <set>

namespace kumquatpath::bench
{
namespace
{

constexpr auto fleet = static_cast<std::size_t>(instances);
constexpr std::size_t centre_count = 7;
/// The data centres of the first region; the other four make up the second.
constexpr std::size_t first_region = 3;
/// A rack holds one in 48 of the instances, and a switch carries two racks.
constexpr std::size_t rack_instances = 12;
constexpr std::size_t switch_instances = 24;
constexpr duration warm_up = std::chrono::seconds(5);
constexpr duration window = std::chrono::seconds(1);
constexpr int longest_watch = 60;
constexpr int cut_seconds = 60;

/// The traffic of the busiest member, in one second.
struct busiest_member
{
    double sent = 0;
    double received = 0;
};

busiest_member busiest(const member_world& world)
{
    busiest_member most;
    for (const member_traffic& each : world.traffic())
    {
        most.sent = std::max(most.sent, static_cast<double>(each.sent_bytes));
        most.received = std::max(most.received, static_cast<double>(each.received_bytes));
    }
    return most;
}

/// Runs second by second until \p is_over or the longest watch, and keeps the peaks.
struct event_watch
{
    busiest_member peak;
    int seconds = 0;
    bool ended = false;

    template <class Condition>
    void run(member_world& world, int longest, Condition is_over)
    {
        for (seconds = 0; seconds < longest && !ended;)
        {
            world.reset_traffic();
            world.run(window);
            ++seconds;
            const busiest_member now = busiest(world);
            peak.sent = std::max(peak.sent, now.sent);
            peak.received = std::max(peak.received, now.received);
            ended = is_over();
        }
    }
};

void tell_watch(ledger& book, const std::string& event, const event_watch& watch)
{
    book.tell(event, "peak of bytes sent by one instance in a second", watch.peak.sent,
              "bytes/s");
    book.tell(event, "peak of bytes received by one instance in a second",
              watch.peak.received, "bytes/s");
    book.tell(event, "seconds until every view agrees", watch.seconds, "s");
    book.tell(event, "views agreed within the watch", watch.ended ? 1 : 0, "yes=1");
}

/// The groups whose keeper changed, and those that lost both keepers.
void tell_groups(ledger& book, const std::string& event,
                 const std::set<std::size_t>& lost)
{
    const member_view before = sample_view(fleet, centre_count);
    member_view after = before;
    std::set<instance_id> gone;
    for (const std::size_t index : lost)
    {
        gone.insert(sample_instance(index));
    }
    std::erase_if(after.members,
                  [&gone](const member& each) { return gone.contains(each.instance); });
    double moved = 0;
    double orphaned = 0;
    for (std::uint16_t group = 0; group < keeper_group_count; ++group)
    {
        const keepers was = keepers_of(before, group);
        const keepers is = keepers_of(after, group);
        moved += was.first == is.first ? 0 : 1;
        orphaned += gone.contains(was.first) && gone.contains(was.replica) ? 1 : 0;
    }
    book.tell(event, "keeper groups that change their keeper", moved / keeper_group_count,
              "fraction");
    book.tell(event, "keeper groups that lose both keepers",
              orphaned / keeper_group_count, "fraction");
}

/// Ends members without a word and waits until no living member believes in any of them.
void measure_deaths(ledger& book, const std::string& event,
                    const std::set<std::size_t>& lost)
{
    member_world world(
        {.members = fleet, .data_centres = centre_count, .seed = book.seed()});
    world.run(warm_up);
    for (const std::size_t index : lost)
    {
        world.kill(index);
    }
    event_watch watch;
    watch.run(world, longest_watch,
              [&]
              {
                  return std::ranges::all_of(lost, [&world](std::size_t index)
                                             { return world.believers(index) == 0; });
              });
    tell_watch(book, event, watch);
    tell_groups(book, event, lost);
}

/// Members of one data centre: those whose number leaves the same rest.
std::set<std::size_t> members_of_centre(std::size_t centre, std::size_t most)
{
    std::set<std::size_t> members;
    for (std::size_t i = centre; i < fleet && members.size() < most; i += centre_count)
    {
        members.insert(i);
    }
    return members;
}

bool is_in_first_region(std::size_t index)
{
    return index % centre_count < first_region;
}

/// Returns the part of the other region's members that a member believes alive, as the
/// mean over all members.
double belief_across(const member_world& world)
{
    double believed = 0;
    double pairs = 0;
    for (std::size_t i = 0; i < world.size(); ++i)
    {
        for (std::size_t other = 0; other < world.size(); ++other)
        {
            if (is_in_first_region(i) == is_in_first_region(other))
            {
                continue;
            }
            const known_member* const known =
                find_member(world.member(i), world.member(other).self.instance);
            ++pairs;
            believed +=
                known != nullptr && known->digest.state < member_state::suspect ? 1 : 0;
        }
    }
    return believed / pairs;
}

void measure_region_cut(ledger& book)
{
    member_world world(
        {.members = fleet, .data_centres = centre_count, .seed = book.seed()});
    world.run(warm_up);
    world.links_are([](std::size_t from, std::size_t to)
                    { return is_in_first_region(from) == is_in_first_region(to); });
    event_watch cut;
    cut.run(world, cut_seconds, [] { return false; });
    book.tell("events/region_cut", "peak of bytes sent by one instance in a second",
              cut.peak.sent, "bytes/s");
    book.tell("events/region_cut", "seconds of the cut that were run", cut_seconds, "s");
    book.tell("events/region_cut", "part of the other region still believed alive",
              belief_across(world), "fraction");
    world.links_are(nullptr);
    event_watch healed;
    healed.run(world, 2 * longest_watch, [&world] { return belief_across(world) == 1; });
    tell_watch(book, "events/region_healed", healed);
}

} // namespace

void measure_events(ledger& book)
{
    measure_deaths(book, "events/rack", members_of_centre(0, rack_instances));
    measure_deaths(book, "events/switch", members_of_centre(0, switch_instances));
    measure_deaths(book, "events/data_centre", members_of_centre(0, fleet));
    measure_region_cut(book);
}

} // namespace kumquatpath::bench
