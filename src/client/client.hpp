#ifndef KUMQUATPATH_CLIENT_CLIENT_HPP
#define KUMQUATPATH_CLIENT_CLIENT_HPP

/// \file
/// Entry point of the operators' client.

#include "client/command_line.hpp"
#include "client/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Runs the verb that \p arguments name and returns the exit code. \p arguments exclude
/// the program's name.
///
/// Results go to \p out. Every failure is reported and becomes an exit code: the message
/// goes to \p errors, or with --json to \p out. --wait reports its progress to \p out, or
/// with --json to \p errors.
exit_code run_client(const std::vector<std::string>& arguments,
                     const command_environment& environment, std::ostream& out,
                     std::ostream& errors);

} // namespace kumquatpath

#endif
