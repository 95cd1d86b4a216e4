#ifndef KUMQUATPATH_CLIENT_CLIENT_HPP
#define KUMQUATPATH_CLIENT_CLIENT_HPP

/// \file
/// The client as a whole: from the command line to the exit code.

#include "client/command_line.hpp"
#include "client/exit_code.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Does what \p arguments ask for and returns the exit code. No failure is let out.
exit_code run_client(const std::vector<std::string>& arguments,
                     const command_environment& environment, std::ostream& out,
                     std::ostream& errors);

} // namespace kumquatpath

#endif
