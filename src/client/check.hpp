#ifndef KUMQUATPATH_CLIENT_CHECK_HPP
#define KUMQUATPATH_CLIENT_CHECK_HPP

/// \file
/// The query check: warnings about a valid document, and its comparison with the
/// configuration in force.

#include "client/exit_code.hpp"
#include "client/queries.hpp"

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/configuration_review.hpp>

#include <boost/json/value.hpp>

#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <variant>

namespace kumquatpath
{

/// Why a document was not compared with the configuration in force.
enum class not_compared : std::uint8_t
{
    /// The command line and the environment name no platform.
    no_platform,
    /// The platform's address is not of the form ip:port.
    malformed_address,
    store_unreachable,
    store_timeout,
    store_malformed_answer,
    /// The configuration in force has faults.
    invalid_configuration,
};

/// The differences from the configuration in force, or why they are not known.
using comparison = std::variant<document_diff, not_compared>;

/// The result of checking a document without faults.
struct check_result
{
    warning_list warnings;
    kumquatpath::comparison comparison;
};

/// Which results of a check are to make it fail.
struct check_demands
{
    /// --strict: warnings.
    bool no_warnings = false;
    /// --compare: a missing comparison.
    bool comparison = false;
};

/// Compares \p document, which must have passed the check, with the configuration in
/// force. Every failure becomes a reason. Takes as long as one read of \p store.
comparison compare_if_possible(key_value_store& store,
                               const boost::json::value& document);

/// Returns the exit code of a check that found \p result. Warnings take precedence over a
/// missing comparison.
exit_code exit_code_of(const check_result& result, const check_demands& demands);

/// Prints the warnings and the comparison of the document in the file \p file_name.
void print_check(std::ostream& out, std::string_view file_name,
                 const check_result& result, bool as_json);

} // namespace kumquatpath

#endif
