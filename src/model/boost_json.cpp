/// \file
/// The only translation unit that compiles the header-only Boost.JSON.

#include <boost/json/src.hpp>
