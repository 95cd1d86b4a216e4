#ifndef KUMQUATPATH_DECISION_SHARED_STATE_HPP
#define KUMQUATPATH_DECISION_SHARED_STATE_HPP

/// \file
/// The part of an entry_instance that follows the shared state: what entry_instance.hpp
/// declares about it, and the helpers below.

#include <kumquatpath/decision/entry_instance.hpp>

namespace kumquatpath
{

/// Records that the shared state was available at \p as_of, which ends any outage.
void record_state_contact(entry_instance& self, time_point as_of, time_point now);

/// Marks the targets of evacuated data centres, after a change of either.
void mark_evacuations(entry_instance& self);

} // namespace kumquatpath

#endif
