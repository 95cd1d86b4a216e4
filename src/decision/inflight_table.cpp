#include <kumquatpath/decision/inflight_table.hpp>
#include <kumquatpath/decision/invariant.hpp>

#include <bit>

namespace kumquatpath
{
namespace
{

std::size_t home_of(const inflight_table& table, flow_id flow, request_id request)
{
    return mix(flow.value, request.value) & (table.places.size() - 1);
}

std::size_t next_place(const inflight_table& table, std::size_t place)
{
    return (place + 1) & (table.places.size() - 1);
}

/// Returns the place of the request, or the free place where the search for it ended.
std::size_t place_of(const inflight_table& table, flow_id flow, request_id request)
{
    std::size_t place = home_of(table, flow, request);
    while (table.places[place].is_used)
    {
        const inflight_request& each = table.places[place];
        if (each.flow == flow && each.request == request)
        {
            break;
        }
        place = next_place(table, place);
    }
    return place;
}

/// Frees \p place and moves back what would no longer be found behind the gap.
void free_place(inflight_table& table, std::size_t place)
{
    std::size_t gap = place;
    std::size_t each = next_place(table, gap);
    while (table.places[each].is_used)
    {
        const inflight_request& moved = table.places[each];
        const std::size_t home = home_of(table, moved.flow, moved.request);
        const std::size_t mask = table.places.size() - 1;
        if (((each - home) & mask) >= ((each - gap) & mask))
        {
            table.places[gap] = moved;
            gap = each;
        }
        each = next_place(table, each);
    }
    table.places[gap].is_used = false;
    --table.used;
}

} // namespace

inflight_table make_inflight_table(std::size_t most)
{
    // Twice the places keep the runs of linear probing short.
    inflight_table table;
    table.places.resize(std::bit_ceil(most * 2));
    return table;
}

bool remember_inflight(inflight_table& table, const inflight_request& request)
{
    const std::size_t place = place_of(table, request.flow, request.request);
    if (table.places[place].is_used)
    {
        return false;
    }
    if (table.used >= table.places.size() / 2)
    {
        ++table.refused;
        return false;
    }
    table.places[place] = request;
    table.places[place].is_used = true;
    ++table.used;
    assert_invariant(invariant::table_stays_in_its_bound,
                     table.used <= table.places.size() / 2);
    return true;
}

inflight_request* find_inflight(inflight_table& table, flow_id flow, request_id request)
{
    inflight_request& found = table.places[place_of(table, flow, request)];
    return found.is_used ? &found : nullptr;
}

std::optional<inflight_request> take_inflight(inflight_table& table, flow_id flow,
                                              request_id request)
{
    const std::size_t place = place_of(table, flow, request);
    if (!table.places[place].is_used)
    {
        return std::nullopt;
    }
    const inflight_request taken = table.places[place];
    free_place(table, place);
    return taken;
}

void expire_inflight(inflight_table& table, time_point now, std::size_t steps,
                     std::vector<inflight_request>& expired)
{
    for (std::size_t i = 0; i < steps && table.used > 0; ++i)
    {
        const inflight_request& each = table.places[table.sweep];
        if (each.is_used && each.expires_at <= now)
        {
            expired.push_back(each);
            free_place(table, table.sweep);
            // The gap may have been filled from behind, so the place is looked at again.
            continue;
        }
        table.sweep = next_place(table, table.sweep);
    }
}

} // namespace kumquatpath
