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
    /// An instance that kept the group before and may know flows that its keepers don't;
    /// 0 when none is left.
    instance_id former;
    /// When \c now last changed.
    time_point changed{};
    /// When the former keeper was last asked for its flows.
    time_point asked{};
    /// Whether this instance, being a keeper, holds every flow that the former one held.
    bool is_complete = true;
};

/// Every group, by its number.
using keeper_groups = std::array<keeper_group, keeper_group_count>;

/// Returns the group of \p slot of \p service.
std::uint16_t group_of(service_id service, slot_index slot) noexcept;

/// Returns the keepers of \p group among the alive members of \p view other than
/// \p excluded.
keepers keepers_of(const member_view& view, std::uint16_t group,
                   instance_id excluded = {});

/// Brings \p groups to \p view. A group whose keepers changed gets a former keeper, and
/// is incomplete if \p view.self has newly become one of its keepers and a former one is
/// left to ask.
void adopt_keepers(keeper_groups& groups, const member_view& view, time_point now);

/// Makes every group that \p view.self keeps incomplete: it may have missed flows.
void distrust_kept_groups(keeper_groups& groups, const member_view& view, time_point now);

} // namespace kumquatpath

#endif
