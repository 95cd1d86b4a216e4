#ifndef KUMQUATPATH_MODEL_CONFIGURED_STATE_HPP
#define KUMQUATPATH_MODEL_CONFIGURED_STATE_HPP

/// \file
/// A configuration that names its targets, as routes and announcements.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <vector>

namespace kumquatpath
{

/// Returns the routes of \p whole.
routing_table routes_of(const configuration& whole);

/// Returns an announcement for each target of each service of \p whole. A target is
/// draining also when its data centre is.
std::vector<target_record> targets_of(const configuration& whole);

/// Returns the key of the target that is called \p name.
target_key key_of_target(std::string_view name);

} // namespace kumquatpath

#endif
