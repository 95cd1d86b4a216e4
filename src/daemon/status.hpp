#ifndef KUMQUATPATH_DAEMON_STATUS_HPP
#define KUMQUATPATH_DAEMON_STATUS_HPP

/// \file
/// The page on which an instance tells operators of itself and of the peers that it
/// hears.

#include "settings.hpp"

#include <kumquatpath/decision/entry_instance.hpp>

#include <string>

namespace kumquatpath
{

/// Returns the page as JSON. Peers are named by where they answer their operators.
std::string status_page(const daemon_settings& settings, const entry_instance& self,
                        time_point now);

} // namespace kumquatpath

#endif
