#ifndef KUMQUATPATH_MODEL_CONFIGURATION_CHECK_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_CHECK_HPP

/// \file
/// Reading and checking of the configuration document that operators write.
///
/// A document is either accepted whole or refused with every fault in it. Reading uses
/// memory in proportion to the text and never fails in another way than by
/// configuration_faults. The client and the instances run the same check.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string_view>

namespace kumquatpath
{

/// The largest value that the platform's key-value service holds, in bytes.
inline constexpr std::size_t max_stored_value_bytes = 1'000'000;

/// The largest text that is read at all, in bytes; white space may make a text longer
/// than the value that is stored.
inline constexpr std::size_t max_document_text_bytes = 8 * max_stored_value_bytes;

/// The longest name of an object, in characters.
inline constexpr std::size_t max_name_length = 64;

/// The version of the document's format that this release reads.
inline constexpr std::uint64_t document_format_version = 1;

/// Checks \p document, a JSON value whose own place is \p pointer. Fails with
/// configuration_faults.
boost::leaf::result<configuration> check_document(const boost::json::value& document,
                                                  std::string_view pointer);

/// Reads and checks \p text, a whole document. Fails with configuration_faults.
boost::leaf::result<configuration> check_document(std::string_view text);

} // namespace kumquatpath

#endif
