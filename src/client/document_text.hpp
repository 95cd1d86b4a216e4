#ifndef KUMQUATPATH_CLIENT_DOCUMENT_TEXT_HPP
#define KUMQUATPATH_CLIENT_DOCUMENT_TEXT_HPP

/// \file
/// Formatting of configuration documents for people to edit.

#include <boost/json/value.hpp>

#include <string>

namespace kumquatpath
{

/// Returns \p document as indented JSON. An object that contains no other object, such as
/// a target, is written on one line.
std::string to_text(const boost::json::value& document);

} // namespace kumquatpath

#endif
