/// \file
/// The one place where the header-only Boost.JSON is compiled.

#include <boost/json/src.hpp>
