#ifndef KUMQUATPATH_DECISION_MEMBER_VIEW_HPP
#define KUMQUATPATH_DECISION_MEMBER_VIEW_HPP

/// \file
/// Which instances one instance believes to be there, and who keeps what among them.

#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/peer_message.hpp>
#include <kumquatpath/model/time.hpp>

#include <optional>
#include <vector>

namespace kumquatpath
{

/// One instance in the member view.
struct member
{
    instance_id instance;
    data_centre_id data_centre;
    member_state state = member_state::alive;
    /// When the holder of the view last heard of the member, directly or through others.
    time_point last_heard{};
    /// When the member was first seen in its present incarnation.
    time_point since{};
};

/// The instances that one instance believes to be there, in ascending order of id. The
/// view of two instances may differ for seconds; nothing that must be agreed may rest on
/// it alone.
struct member_view
{
    instance_id self;
    std::vector<member> members;
};

/// Returns the \p rank-th best keeper of \p key among the members that are alive, by
/// rendezvous hashing; rank 0 is the first. Empty when fewer members are alive.
///
/// A member that joins or goes changes only the keepers that it gains or loses.
std::optional<instance_id> keeper_of(const member_view& view, std::uint64_t key,
                                     std::size_t rank);

} // namespace kumquatpath

#endif
