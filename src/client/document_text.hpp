#ifndef KUMQUATPATH_CLIENT_DOCUMENT_TEXT_HPP
#define KUMQUATPATH_CLIENT_DOCUMENT_TEXT_HPP

/// \file
/// Documents as text for people to edit.

#include <boost/json/value.hpp>

#include <string>

namespace kumquatpath
{

/// Returns \p document as indented JSON in which an object without objects inside, such
/// as a target, stands on one line.
std::string to_text(const boost::json::value& document);

} // namespace kumquatpath

#endif
