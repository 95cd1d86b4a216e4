#ifndef KUMQUATPATH_MODEL_CONFIGURATION_QUERY_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_QUERY_HPP

/// \file
/// Queries on a configuration.

#include <kumquatpath/model/configuration.hpp>

#include <string>
#include <vector>

namespace kumquatpath
{

/// Returns the names, in ascending order, of the targets of \p pool that accept new
/// flows: those that are active and whose data centre is not draining.
std::vector<std::string> active_target_names(const configuration& config,
                                             const target_pool& pool);

} // namespace kumquatpath

#endif
