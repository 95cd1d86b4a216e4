#ifndef KUMQUATPATH_FAKES_SUPPORT_PROGRAM_HPP
#define KUMQUATPATH_FAKES_SUPPORT_PROGRAM_HPP

/// \file
/// Functions that the programs of the fakes share: parsing of arguments, the clock, and
/// running until a signal.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kumquatpath::fakes
{

/// Parses "a.b.c.d:port". Throws std::invalid_argument if \p text has another form.
endpoint require_endpoint(const std::string& text);

/// Splits \p text at each \p separator. An empty text has no parts.
std::vector<std::string> split(const std::string& text, char separator);

/// Parses a comma-separated list of endpoints. Throws std::invalid_argument if one of
/// them is invalid.
std::vector<endpoint> require_endpoints(const std::string& text);

/// Returns the present time on the monotonic clock.
time_point present_time();

/// Runs \p context until it is stopped or the process receives SIGTERM or SIGINT.
void run_until_signal(boost::asio::io_context& context);

/// Runs \p body and returns the exit code of the program: 0, or 1 if \p body threw. The
/// message of the exception is printed to standard error after \p name.
int run_program(const char* name, const std::function<void()>& body);

} // namespace kumquatpath::fakes

#endif
