#ifndef KUMQUATPATH_MODEL_FLOWS_AT_RISK_HPP
#define KUMQUATPATH_MODEL_FLOWS_AT_RISK_HPP

/// \file
/// Which targets a change takes away from under open flows.

#include <kumquatpath/model/configuration_envelope.hpp>

#include <set>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Returns the names of the targets that take new flows of any service of \p config.
std::set<std::string> targets_taking_flows(const configuration& config);

/// Returns the names of the targets that flows may rest on and that \p next, whose
/// retired_targets are filled in, no longer has or has at another address.
std::vector<std::string>
targets_with_flows_at_risk(const configuration_envelope& previous,
                           const configuration_envelope& next);

} // namespace kumquatpath

#endif
