#ifndef KUMQUATPATH_MODEL_CONFIGURATION_CHECK_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_CHECK_HPP

/// \file
/// Parses and validates the configuration document that operators write.
///
/// A document is either accepted as a whole or refused with a list of all its faults.
/// Memory use is proportional to the size of the text, and configuration_faults is the
/// only way to fail. The client and the instances run the same check.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string_view>

namespace kumquatpath
{

/// The size limit of one value in the platform's key-value store, in bytes.
inline constexpr std::size_t max_stored_value_bytes = 1'000'000;

/// The size limit of a document's text, in bytes; larger texts are not parsed. It exceeds
/// the limit of a stored value because the text may contain white space that is not
/// stored.
inline constexpr std::size_t max_document_text_bytes = 8 * max_stored_value_bytes;

/// The maximum length of an object's name, in characters.
inline constexpr std::size_t max_name_length = 64;

/// The version of the document format that this release supports.
inline constexpr std::uint64_t document_format_version = 1;

/// Converts \p document to a configuration. The pointers of faults start with
/// \p pointer, the JSON pointer of \p document itself. Fails with configuration_faults.
boost::leaf::result<configuration> check_document(const boost::json::value& document,
                                                  std::string_view pointer);

/// Parses \p text as JSON and converts it to a configuration. Fails with
/// configuration_faults.
boost::leaf::result<configuration> check_document(std::string_view text);

} // namespace kumquatpath

#endif
