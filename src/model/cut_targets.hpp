#ifndef KUMQUATPATH_MODEL_CUT_TARGETS_HPP
#define KUMQUATPATH_MODEL_CUT_TARGETS_HPP

/// \file
/// Which targets a change takes away from under open flows.

#include <kumquatpath/model/configuration_envelope.hpp>

#include <string>
#include <vector>

namespace kumquatpath
{

/// Returns the names of the targets that flows may rest on and that \p next, whose past
/// placements are filled in, no longer has or has at another address.
std::vector<std::string> cut_targets(const configuration_envelope& previous,
                                     const configuration_envelope& next);

} // namespace kumquatpath

#endif
