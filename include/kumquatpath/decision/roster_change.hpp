#ifndef KUMQUATPATH_DECISION_ROSTER_CHANGE_HPP
#define KUMQUATPATH_DECISION_ROSTER_CHANGE_HPP

/// \file
/// The next version of the roster, decided from who has been there and who has been gone.

#include <kumquatpath/decision/member_view.hpp>
#include <kumquatpath/decision/roster.hpp>

#include <optional>

namespace kumquatpath
{

/// The times after which an instance joins or leaves the roster.
struct roster_change_options
{
    /// How long an instance must have been alive before it holds claims.
    duration add_after = std::chrono::seconds{5};
    /// How long a holder must have been silent before it is replaced; a quick restart
    /// under the same name changes nothing.
    duration remove_after = std::chrono::seconds{30};
};

/// Returns the next version, or nothing when none is needed or the current one is still
/// joint. A holder that was never heard counts as silent since this instance started.
std::optional<roster> decide_roster(const roster_view& view, const member_view& members,
                                    const roster_change_options& options, time_point now);

} // namespace kumquatpath

#endif
