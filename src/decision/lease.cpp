#include <kumquatpath/decision/lease.hpp>

#include <algorithm>

namespace kumquatpath
{

bool is_held(const lease& which, time_point now)
{
    return now < which.held_until;
}

bool is_ask_due(const lease& which, time_point now)
{
    return now >= which.next_ask;
}

void ask_lease(lease& which, store_request request, time_point now)
{
    which.asked = request;
    which.asked_at = now;
    which.next_ask = now + which.options.interval;
}

void receive_lease_answer(lease& which, store_request request, bool is_granted)
{
    if (which.asked != request)
    {
        return;
    }
    which.asked.reset();
    const duration counted = which.options.time_to_live - which.options.guard;
    which.held_until = is_granted ? which.asked_at + counted : time_point{};
}

} // namespace kumquatpath
