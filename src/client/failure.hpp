#ifndef KUMQUATPATH_CLIENT_FAILURE_HPP
#define KUMQUATPATH_CLIENT_FAILURE_HPP

/// \file
/// Every failure that the client can meet, its message and its exit code.

#include "client/exit_code.hpp"

#include <kumquatpath/model/ids.hpp>

#include <boost/leaf/result.hpp>

#include <functional>
#include <iosfwd>
#include <string>

namespace kumquatpath
{

/// A failure: a file can't be read.
struct unreadable_file
{
    std::string name;
};

/// A failure: a file doesn't say which generation it was edited from, and one is in
/// force.
struct base_required
{
    generation in_force;
};

/// A failure: there is no configuration yet.
struct nothing_in_force
{
};

/// A failure: the object that a drain names does not exist.
struct unknown_object
{
    std::string kind;
    std::string name;
    /// The nearest name that exists, or empty.
    std::string suggestion;
};

/// Where messages go and in which form.
struct failure_output
{
    std::ostream& out;
    std::ostream& errors;
    bool json = false;
};

/// Runs \p action and returns its exit code. A failure is told on the output: as text on
/// the errors stream, or as one JSON object on the other.
exit_code run_and_report(const std::function<boost::leaf::result<exit_code>()>& action,
                         const failure_output& output);

} // namespace kumquatpath

#endif
