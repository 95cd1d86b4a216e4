#ifndef KUMQUATPATH_MODEL_JSON_PARSE_HPP
#define KUMQUATPATH_MODEL_JSON_PARSE_HPP

/// \file
/// Reading of JSON text with its faults.

#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/value.hpp>

#include <optional>
#include <string_view>

namespace kumquatpath
{

/// Reads \p text as JSON. Returns nothing, and adds a fault, when the text is not JSON or
/// too large. A key that stands twice in one object is a fault too, but the text is read.
std::optional<boost::json::value> parse_json(std::string_view text, fault_list& faults);

} // namespace kumquatpath

#endif
