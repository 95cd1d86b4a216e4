#ifndef KUMQUATPATH_DECISION_TARGET_AVAILABILITY_HPP
#define KUMQUATPATH_DECISION_TARGET_AVAILABILITY_HPP

/// \file
/// Whether a service has a target for new flows and, if it has none, why.

#include <kumquatpath/decision/target_directory.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <set>

namespace kumquatpath
{

/// Whether a service has targets for new flows.
enum class target_availability : std::uint8_t
{
    /// At least one target takes new flows.
    available,
    /// No target takes new flows, and some would if their data centre was not evacuated.
    evacuated,
    /// No target takes new flows, for other reasons.
    none,
};

/// Returns whether \p service has a target in \p directory that takes new flows at \p
/// now.
target_availability availability_of(const target_directory& directory, service_id service,
                                    time_point now);

/// Returns the services that the routes of \p table lead to and that have only targets of
/// evacuated data centres.
std::set<service_id> find_evacuated_services(const routing_table& table,
                                             const target_directory& directory,
                                             time_point now);

} // namespace kumquatpath

#endif
