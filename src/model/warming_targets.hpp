#ifndef KUMQUATPATH_MODEL_WARMING_TARGETS_HPP
#define KUMQUATPATH_MODEL_WARMING_TARGETS_HPP

/// \file
/// Which targets of a stored configuration warm up, and until when.

#include <kumquatpath/model/configuration_envelope.hpp>

namespace kumquatpath
{

/// Returns the targets that still warm up when \p next is submitted: those that take new
/// flows under \p next but did not under \p previous or had another address, and those
/// that did not finish before. Targets of services without a warm-up are left out.
start_times next_warming_targets(const configuration_envelope& previous,
                                 const configuration_envelope& next);

/// Sets target::warm_up_until of the targets in \p warming.
void set_warm_ups(configuration& config, const start_times& warming);

} // namespace kumquatpath

#endif
