#ifndef KUMQUATPATH_DAEMON_DRAIN_VIEW_HPP
#define KUMQUATPATH_DAEMON_DRAIN_VIEW_HPP

/// \file
/// The drains that are going on, and what each still waits for, as one instance sees
/// them.

#include "snapshot.hpp"

#include <kumquatpath/decision/flow_router.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <vector>

namespace kumquatpath
{

/// Returns every target and data centre that \p whole drains. A target waits for the
/// flows that are known to \p router to rest on it, and for those that were opened before
/// it left, until their service's flow lifetime is over. Cost: the whole table of
/// flows, if any target drains.
std::vector<drain_status> drains_of(const configuration& whole, const flow_router& router,
                                    wall_time now);

} // namespace kumquatpath

#endif
