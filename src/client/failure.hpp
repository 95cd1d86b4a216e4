#ifndef KUMQUATPATH_CLIENT_FAILURE_HPP
#define KUMQUATPATH_CLIENT_FAILURE_HPP

/// \file
/// Failures of the client, and their conversion to messages and exit codes.

#include "client/exit_code.hpp"

#include <kumquatpath/model/ids.hpp>

#include <boost/leaf/result.hpp>

#include <functional>
#include <iosfwd>
#include <string>

namespace kumquatpath
{

/// A failure: a file cannot be read.
struct unreadable_file
{
    std::string name;
};

/// A failure: neither the file nor --base names the generation that the file was edited
/// from, although a generation is in force.
struct base_required
{
    generation in_force;
};

/// A failure: no configuration has been published yet.
struct nothing_in_force
{
};

/// A failure: an object that a drain or undrain names does not exist.
struct unknown_object
{
    /// The kind of object in words, such as "data centre".
    std::string kind;
    std::string name;
    /// The most similar existing name; empty if none is similar.
    std::string suggestion;
};

/// The streams and the format for reports of failures.
struct failure_output
{
    std::ostream& out;
    std::ostream& errors;
    bool json = false;
};

/// Runs \p action and returns its exit code. A failure is reported as text on the errors
/// stream or, with JSON, as one object on the out stream; the exit code of that failure
/// is returned.
exit_code run_and_report(const std::function<boost::leaf::result<exit_code>()>& action,
                         const failure_output& output);

} // namespace kumquatpath

#endif
