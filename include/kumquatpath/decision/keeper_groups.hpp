#ifndef KUMQUATPATH_DECISION_KEEPER_GROUPS_HPP
#define KUMQUATPATH_DECISION_KEEPER_GROUPS_HPP

/// \file
/// Which two instances keep the flows of which slots.
///
/// Slots fall in groups, and each group has a keeper and a replica in the member view.
/// They are computed once for a view, so a packet costs a look-up.

#include <kumquatpath/decision/member_view.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <array>
#include <cstdint>

namespace kumquatpath
{

/// The count of keeper groups over all services.
inline constexpr std::uint16_t keeper_group_count = 1024;

/// The two instances that keep one group; 0 stands for "none".
struct keepers
{
    instance_id first;
    /// In another data centre than \c first when there is one.
    instance_id replica;

    friend bool operator==(const keepers&, const keepers&) = default;
};

/// One group as an instance sees it.
struct keeper_group
{
    keepers now;
    /// An instance that kept the group before this one and may know flows that this one
    /// doesn't; 0 when there is none.
    instance_id former;
    /// The other one that kept the group then; it is turned to when \c former goes.
    instance_id former_replica;
    /// When this instance last became a keeper of the group, or its first keeper.
    time_point gained{};
    /// When the former keeper was last asked for its flows.
    time_point asked{};
    /// Whether this instance, being a keeper, holds every flow that the former one held.
    bool is_complete = true;
};

/// Every group, by its number.
using keeper_groups = std::array<keeper_group, keeper_group_count>;

/// Returns the group of \p slot of \p service.
std::uint16_t group_of(service_id service, slot_index slot) noexcept;

/// Returns the keepers of \p group among the alive members of \p view.
keepers keepers_of(const member_view& view, std::uint16_t group);

/// Returns the keepers of \p group without \p view.self: those before it joined.
keepers earlier_keepers_of(const member_view& view, std::uint16_t group);

/// Brings \p groups to \p view. A group of which \p view.self newly becomes a keeper gets
/// a former keeper, and is incomplete until that has told its flows; one whose former
/// keeper dies before turns to the other keeper.
void adopt_keepers(keeper_groups& groups, const member_view& view, time_point now);

/// Makes every group that \p view.self keeps incomplete: it may have missed flows.
void distrust_kept_groups(keeper_groups& groups, const member_view& view, time_point now);

} // namespace kumquatpath

#endif
