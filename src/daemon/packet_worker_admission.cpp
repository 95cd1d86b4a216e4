#include "packet_worker.hpp"

#include <kumquatpath/decision/admission_placement.hpp>

namespace kumquatpath
{
namespace
{

constexpr std::string_view wait_too_long = "estimated wait too long";

} // namespace

void packet_worker::count_waiting_openings()
{
    if (self_.configuration.table == nullptr)
    {
        return;
    }
    for (const auto& [listener, load] : opening_queue_.listeners)
    {
        const auto found = self_.configuration.table->routes.find(listener);
        if (found != self_.configuration.table->routes.end())
        {
            set_waiting(metrics_, found->second.name, load.waiting);
        }
    }
}

bool packet_worker::is_behind_others(const flow_packet& packet) const
{
    return settings_.uses_priorities &&
           kumquatpath::is_behind_others(opening_queue_, self_.steering,
                                         *self_.configuration.table, packet);
}

void packet_worker::record_opening_placement(const flow_packet& packet,
                                             target_index target, time_point now)
{
    const routing_table& table = *self_.configuration.table;
    record_placement(opening_queue_, packet.listener, now);
    const route* const found = find_route(table, packet.listener);
    if (found == nullptr)
    {
        return;
    }
    count_placement(metrics_, found->name);
    if (settings_.uses_priorities)
    {
        record_admission(admission_order_, packet.listener, packet.caller,
                         self_.directory.targets[target].record.service, now);
    }
}

void packet_worker::refuse_unservable(time_point now)
{
    if (!settings_.uses_priorities || opening_queue_.openings.empty())
    {
        return;
    }
    for (const unservable_opening& each :
         take_unservable(admission_order_, opening_queue_, now))
    {
        refuse(
            each.opening.packet, to_received_packet(each.opening),
            {.why = wait_too_long, .priority = each.opening.priority, .estimate = &each},
            now);
    }
}

void packet_worker::place_by_priority(time_point now)
{
    for (const steered_opening& each :
         take_admissible(admission_order_, opening_queue_, self_.steering,
                         *self_.configuration.table, self_.directory, now))
    {
        finish_placement(each.opening, each.decision, now);
    }
    data_socket_.flush();
}

} // namespace kumquatpath
