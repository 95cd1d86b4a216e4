/// \file
/// The one place where easylogging++ is compiled.

#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wpedantic"

// The library is shipped as a source file that its user compiles.
// NOLINTNEXTLINE(bugprone-suspicious-include)
#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
