#ifndef KUMQUATPATH_TEST_SUPPORT_ENVIRONMENT_HPP
#define KUMQUATPATH_TEST_SUPPORT_ENVIRONMENT_HPP

/// \file
/// Numbers that whoever runs a test may set, such as the seeds of a randomised one.

#include <cstdint>
#include <cstdlib>
#include <string>

namespace kumquatpath::test
{

/// Returns the number in the environment variable \p name, or \p otherwise if it is not
/// set. Throws if it is not a number.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

} // namespace kumquatpath::test

#endif
