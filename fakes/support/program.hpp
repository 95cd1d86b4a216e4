#ifndef KUMQUATPATH_FAKES_SUPPORT_PROGRAM_HPP
#define KUMQUATPATH_FAKES_SUPPORT_PROGRAM_HPP

/// \file
/// What the stand-ins share: command lines, the clock, and the end of a process.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kumquatpath::fakes
{

/// Reads "a.b.c.d:port" from a command line or request. Throws std::invalid_argument.
endpoint require_endpoint(const std::string& text);

/// Splits \p text at each \p separator.
std::vector<std::string> split(const std::string& text, char separator);

/// Reads a list of endpoints that are separated by commas. Throws std::invalid_argument.
std::vector<endpoint> require_endpoints(const std::string& text);

/// Returns the present time of this process.
time_point present_time();

/// Runs \p context until it has no work or a SIGTERM or SIGINT comes.
void run_until_signal(boost::asio::io_context& context);

/// Runs \p body as the program \p name. Returns its exit code: 1 when it threw, after the
/// fault was printed.
int run_program(const char* name, const std::function<void()>& body);

} // namespace kumquatpath::fakes

#endif
