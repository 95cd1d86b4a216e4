#ifndef KUMQUATPATH_MODEL_CONFIGURED_STATE_HPP
#define KUMQUATPATH_MODEL_CONFIGURED_STATE_HPP

/// \file
/// A configuration that names its targets, as routes and announcements.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <vector>

namespace kumquatpath
{

/// Returns the routes of \p config.
routing_table routing_table_of(const configuration& config);

/// Returns an announcement for each target of each service of \p config. A target is
/// draining also when its data centre is.
std::vector<target_record> target_records_of(const configuration& config);

/// Returns the key of the target that is called \p name.
target_key target_key_of(std::string_view name);

} // namespace kumquatpath

#endif
