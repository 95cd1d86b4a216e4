#ifndef KUMQUATPATH_MODEL_CONFIGURATION_QUERY_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_QUERY_HPP

/// \file
/// Questions about a configuration.

#include <kumquatpath/model/configuration.hpp>

#include <string>
#include <vector>

namespace kumquatpath
{

/// Returns the names of the targets of \p pool that take new flows, in ascending order:
/// those that are neither draining nor in a data centre that is.
std::vector<std::string> active_target_names(const configuration& config,
                                             const target_pool& pool);

} // namespace kumquatpath

#endif
