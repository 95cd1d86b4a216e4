#ifndef KUMQUATPATH_MODEL_JSON_PARSE_HPP
#define KUMQUATPATH_MODEL_JSON_PARSE_HPP

/// \file
/// Parses JSON and reports duplicate keys.

#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <string_view>

namespace kumquatpath
{

/// Parses \p text as JSON. Returns nothing, and adds a fault to \p faults, if the text is
/// not valid JSON or is too large. A duplicate key adds a fault too, but the value is
/// returned.
std::optional<boost::json::value> parse_json(std::string_view text, fault_list& faults);

} // namespace kumquatpath

#endif
