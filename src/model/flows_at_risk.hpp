#ifndef KUMQUATPATH_MODEL_FLOWS_AT_RISK_HPP
#define KUMQUATPATH_MODEL_FLOWS_AT_RISK_HPP

/// \file
/// Detection of targets whose open flows a configuration change may break.

#include <kumquatpath/model/configuration_envelope.hpp>

#include <set>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Returns the names of the targets that accept new flows of any service of \p config.
std::set<std::string> targets_taking_flows(const configuration& config);

/// Returns the names, in ascending order, of the targets that may hold open flows and
/// that \p next removes or gives another address. The retired targets of \p next must
/// already be filled in.
std::vector<std::string>
targets_with_flows_at_risk(const configuration_envelope& previous,
                           const configuration_envelope& next);

} // namespace kumquatpath

#endif
