#ifndef KUMQUATPATH_DECISION_CUT_OFF_HPP
#define KUMQUATPATH_DECISION_CUT_OFF_HPP

/// \file
/// Detects that the data centre of an instance is cut off from everything else.
///
/// A data centre that is cut off goes on serving with its own targets, also if it was
/// evacuated: its callers have no other targets, and the evacuation cannot be withdrawn
/// there. As soon as anything else is reached again, the evacuation is obeyed again.

#include <kumquatpath/decision/entry_instance.hpp>

namespace kumquatpath
{

/// A data centre counts as cut off only if it has reached neither the store nor a peer of
/// another data centre for this long.
inline constexpr std::chrono::milliseconds min_cut_off_time{3000};

/// Returns whether the data centre of \p self is cut off: neither the store nor a peer of
/// another data centre is reached, and the targets of every other data centre that may be
/// used leave openings unanswered. Returns false if no such targets are known.
bool is_data_centre_cut_off(const entry_instance& self, time_point now);

} // namespace kumquatpath

#endif
