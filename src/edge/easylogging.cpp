/// \file
/// The one place where easylogging++ is compiled.

#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wconversion"
#pragma GCC diagnostic ignored "-Wpedantic"

#include <easylogging++.cc>

INITIALIZE_EASYLOGGINGPP
