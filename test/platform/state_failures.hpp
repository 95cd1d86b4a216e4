#ifndef KUMQUATPATH_TEST_PLATFORM_STATE_FAILURES_HPP
#define KUMQUATPATH_TEST_PLATFORM_STATE_FAILURES_HPP

/// \file
/// How a call of a state_source fails.

#include <kumquatpath/edge/state_source.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace kumquatpath::test
{

/// Returns the state_failure that \p call fails with, or nothing.
template <class Call>
std::optional<state_failure> failure_of(Call call)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<state_failure>>
        {
            BOOST_LEAF_CHECK(call());
            return std::optional<state_failure>();
        },
        [](state_failure failure) { return std::optional(failure); },
        [] { return std::optional<state_failure>(); });
}

} // namespace kumquatpath::test

#endif
