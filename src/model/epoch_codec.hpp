#ifndef KUMQUATPATH_MODEL_EPOCH_CODEC_HPP
#define KUMQUATPATH_MODEL_EPOCH_CODEC_HPP

/// \file
/// The stored form of past placements.
///
/// A past placement is stored as its difference from the one that followed it, the last
/// one from the targets that are active now, so that its size goes with what changed and
/// not with the count of targets.

#include <kumquatpath/model/configuration_envelope.hpp>

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The latest wall time that is read, in milliseconds: the year 9999. A later one could
/// overflow when it is converted to finer units.
inline constexpr std::uint64_t latest_wall_time_ms = 253'402'300'799'999;

/// Returns the wall time of \p milliseconds, which is at most latest_wall_time_ms.
wall_time wall_time_of(std::uint64_t milliseconds);

/// The names of each service's active targets, in ascending order.
using active_sets = std::map<std::string, std::vector<std::string>, std::less<>>;

/// Returns the active targets of every service of \p whole.
active_sets active_sets_of(const configuration& whole);

/// Writes \p records; \p active is what the services have now.
boost::json::object write_epochs(const epoch_records& records, const active_sets& active);

/// Reads what write_epochs() wrote from \p section, which is at \p pointer. What is wrong
/// is added to \p faults.
epoch_records read_epochs(const boost::json::object& section, std::string_view pointer,
                          const active_sets& active, fault_list& faults);

} // namespace kumquatpath

#endif
