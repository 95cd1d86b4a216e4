#ifndef KUMQUATPATH_DECISION_FLOW_TABLE_HPP
#define KUMQUATPATH_DECISION_FLOW_TABLE_HPP

/// \file
/// A bounded table from flows to the targets that hold them.
///
/// All memory is taken when the table is made; no operation allocates afterwards. A full
/// table refuses a new flow and counts the refusal; it never forgets one to make room.

#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <vector>

namespace kumquatpath
{

/// Why an instance holds a flow.
enum class flow_role : std::uint8_t
{
    /// A free place of the table.
    none,
    /// A keeper told this instance; it may be forgotten at any time.
    cached,
    /// This instance keeps the flow for others.
    kept,
};

/// One flow that rests on a known target.
struct flow_entry
{
    flow_id flow;
    service_id service;
    target_id target;
    /// When a packet of the flow was last seen, in units of flow_tick.
    std::uint32_t seen = 0;
    flow_role role = flow_role::none;
    /// Whether the other keeper of the flow has been told.
    bool is_replicated = false;
    /// Whether the target is only the next one to try after others did not know the flow.
    bool is_tentative = false;
    /// How many targets have said that they do not know the flow.
    std::uint8_t resets = 0;
};

static_assert(sizeof(flow_entry) <= 32, "a held flow costs at most 32 bytes");

/// The unit of flow_entry::seen.
inline constexpr std::chrono::milliseconds flow_tick{125};

/// The key of a flow: callers of two services may draw the same number.
struct flow_key
{
    service_id service;
    flow_id flow;
};

/// The flows that one instance holds; made by make_flow_table().
struct flow_table
{
    /// A power of two; at most three quarters are used.
    std::vector<flow_entry> places;
    std::size_t size = 0;
    std::size_t most = 0;
    /// Flows that were refused because the table was full.
    std::uint64_t refused = 0;
    /// Where the next sweep goes on.
    std::size_t next_swept = 0;
};

/// Returns an empty table for at most \p most flows.
flow_table make_flow_table(std::size_t most);

/// Returns the entry of \p key, or null. The pointer is valid until the table changes.
flow_entry* find_flow(flow_table& table, flow_key key) noexcept;

/// Returns the entry of \p key, which is made first if there is none; its role is then
/// none and the caller must set it. Returns null, and counts it, when the table is full.
flow_entry* insert_flow(flow_table& table, flow_key key) noexcept;

/// Forgets \p key if it is held.
void erase_flow(flow_table& table, flow_key key) noexcept;

/// Looks at the next \p places places and forgets flows that were not seen for \p idle.
void sweep_flows(flow_table& table, std::size_t places, duration idle,
                 time_point now) noexcept;

/// Returns \p now in units of flow_tick, as flow_entry::seen holds it.
std::uint32_t in_flow_ticks(time_point now) noexcept;

} // namespace kumquatpath

#endif
