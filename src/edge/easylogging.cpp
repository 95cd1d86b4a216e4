/// \file
/// Compiles the implementation of easylogging++.

#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wpedantic"

// easylogging++ is distributed as a source file that its user compiles.
// NOLINTNEXTLINE(bugprone-suspicious-include)
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
