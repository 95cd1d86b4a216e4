/// \file
/// Membership by the count of members: bytes, processor time, memory.

#include <capacity/member_world.hpp>
#include <capacity/sections.hpp>
#include <capacity/target_size.hpp>

#include <array>
#include <ratio>

namespace kumquatpath::bench
{
namespace
{

constexpr std::array<std::size_t, 5> member_counts = {71, 142, 285, 570, 1140};
constexpr duration warm_up = std::chrono::seconds(5);
constexpr duration measured_span = std::chrono::seconds(20);

struct member_cost
{
    double sent = 0;
    double received = 0;
    double messages = 0;
    double core = 0;
};

member_cost cost_of(const world_options& options)
{
    member_world world(options);
    world.run(warm_up);
    world.reset_traffic();
    const double nanoseconds =
        nanoseconds_per_call(1, 1, [&] { world.run(measured_span); });
    const double seconds = std::chrono::duration<double>(measured_span).count();
    const double member_seconds = seconds * static_cast<double>(options.members);
    member_cost cost;
    for (const member_traffic& each : world.traffic())
    {
        cost.sent += static_cast<double>(each.sent_bytes) / member_seconds;
        cost.received += static_cast<double>(each.received_bytes) / member_seconds;
        cost.messages += static_cast<double>(each.sent_messages) / member_seconds;
    }
    cost.core = nanoseconds / std::nano::den / member_seconds;
    return cost;
}

} // namespace

void measure_members(ledger& book)
{
    std::vector<cost_point> sent;
    std::vector<cost_point> received;
    std::vector<cost_point> messages;
    std::vector<cost_point> core;
    std::vector<cost_point> memory;
    for (const std::size_t count : member_counts)
    {
        const auto size = static_cast<double>(count);
        const member_cost cost = cost_of({.members = count, .seed = book.seed()});
        sent.push_back({size, cost.sent});
        received.push_back({size, cost.received});
        messages.push_back({size, cost.messages});
        core.push_back({size, cost.core});
        memory.push_back({size, size * sizeof(known_member)});
    }
    book.add_line({"members/sent", "member", "bytes/s"}, sent);
    book.add_line({"members/received", "member", "bytes/s"}, received);
    book.add_line({"members/messages", "member", "messages/s"}, messages);
    book.add_line({"members/core", "member", "core"}, core);
    const auto fleet = static_cast<std::size_t>(instances);
    const member_cost most =
        cost_of({.members = fleet, .seed = book.seed(), .have_just_met = true});
    book.tell("members/all_news", "bytes sent while every heartbeat is full of changes",
              most.sent, "bytes/s");
    book.add_line({"members/memory", "member", "bytes"}, memory);
}

} // namespace kumquatpath::bench
