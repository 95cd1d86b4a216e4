/// \file
/// Main program of kumquatpath, the operators' command-line client.

#include "client/client.hpp"

#include <cstdlib>
#include <iostream>

namespace
{

std::string environment_value(const char* name)
{
    const char* const value = std::getenv(name);
    return value == nullptr ? "" : value;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const kumquatpath::command_environment environment{
        .platform = environment_value("KUMQUATPATH_PLATFORM"),
        .instance = environment_value("KUMQUATPATH_INSTANCE"),
        .user = environment_value("USER")};
    return static_cast<int>(
        kumquatpath::run_client(arguments, environment, std::cout, std::cerr));
}
