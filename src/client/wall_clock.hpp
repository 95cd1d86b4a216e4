#ifndef KUMQUATPATH_CLIENT_WALL_CLOCK_HPP
#define KUMQUATPATH_CLIENT_WALL_CLOCK_HPP

/// \file
/// Formatting of wall-clock times for people.

#include <kumquatpath/model/time.hpp>

#include <string>

namespace kumquatpath
{

/// Returns \p time as "YYYY-MM-DD HH:MM:SS UTC".
std::string to_utc_text(wall_time time);

} // namespace kumquatpath

#endif
