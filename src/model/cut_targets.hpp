#ifndef KUMQUATPATH_MODEL_CUT_TARGETS_HPP
#define KUMQUATPATH_MODEL_CUT_TARGETS_HPP

/// \file
/// Which targets a change takes away from under open flows.

#include <kumquatpath/model/configuration_envelope.hpp>

#include <set>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Returns the names of the targets that take new flows of any service of \p whole.
std::set<std::string> targets_taking_flows(const configuration& whole);

/// Returns the names of the targets that flows may rest on and that \p next, whose
/// retirements are filled in, no longer has or has at another address.
std::vector<std::string> cut_targets(const configuration_envelope& previous,
                                     const configuration_envelope& next);

} // namespace kumquatpath

#endif
