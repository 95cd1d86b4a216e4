#ifndef KUMQUATPATH_MODEL_CONFIGURED_STATE_HPP
#define KUMQUATPATH_MODEL_CONFIGURED_STATE_HPP

/// \file
/// Conversion of a configuration that names its targets to a routing table and target
/// records.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <vector>

namespace kumquatpath
{

/// Returns the routes, rate limits, warm-up policies and draining instances of \p config.
routing_table routing_table_of(const configuration& config);

/// Returns a record for each target of each service of \p config. A record is
/// marked as draining if the target or its data centre is draining. Its warm-up is what
/// is left of it at \p now, and never more than the service's.
std::vector<target_record> target_records_of(const configuration& config, wall_time now);

/// Returns the key of the target named \p name, which is a hash of the name.
target_key target_key_of(std::string_view name);

} // namespace kumquatpath

#endif
