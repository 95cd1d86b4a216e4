#ifndef KUMQUATPATH_DAEMON_STATUS_HPP
#define KUMQUATPATH_DAEMON_STATUS_HPP

/// \file
/// The /v1/status page, which shows operators the state of an instance and its peers.

#include "settings.hpp"

#include <kumquatpath/decision/entry_instance.hpp>

#include <string>

namespace kumquatpath
{

/// Returns the /v1/status page as a JSON object. A peer is listed by its address with the
/// port of this instance's \c metrics setting, where the peer's own status page is
/// found if all instances use the same port.
std::string status_page(const daemon_settings& settings, const entry_instance& self,
                        time_point now);

} // namespace kumquatpath

#endif
