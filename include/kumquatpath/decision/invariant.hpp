#ifndef KUMQUATPATH_DECISION_INVARIANT_HPP
#define KUMQUATPATH_DECISION_INVARIANT_HPP

/// \file
/// Promises that the program checks of itself while it runs.
///
/// A broken promise is always counted, and the daemon shows the counts among its metrics.
/// Tests and benches make it fatal, so that the first violation ends the run.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatpath
{

/// Each promise that is checked, one for every point of "what must always hold".
enum class invariant : std::uint8_t
{
    /// A packet of an established flow goes only to the target that holds the flow.
    flow_keeps_its_target,
    /// A packet goes only to a target of its own service.
    packet_stays_in_its_service,
    /// An answer goes only to the request that it belongs to.
    answer_meets_its_request,
    /// A request refused as "not run" was not, and will not be, sent to a target.
    not_run_is_true,
    /// A submission that may not be repeated is sent to a target at most once.
    submission_runs_at_most_once,
    /// A draining target gets no new flow once the drain is in force.
    draining_target_gets_no_new_flow,
    /// The generation in force never goes back.
    generation_never_reverts,
    /// A table holds no more than its bound.
    table_stays_in_its_bound,
};

/// The count of promises.
inline constexpr std::size_t invariant_count =

    static_cast<std::size_t>(invariant::table_stays_in_its_bound) + 1;

/// What happens when a promise is broken.
enum class violation_policy : std::uint8_t
{
    count,
    abort,
};

/// Sets what a violation does from now on, in the whole process. The default is to count.
void violation_policy_is(violation_policy policy) noexcept;

/// Checks that \p holds; counts a violation of \p which if it doesn't. Returns \p holds.
///
/// With violation_policy::abort a violation prints the promise's name and ends the
/// process.
bool assert_invariant(invariant which, bool holds) noexcept;

/// Returns the violations counted so far, indexed by invariant.
std::array<std::uint64_t, invariant_count> violations() noexcept;

/// Returns the name of \p which, as metrics and messages print it.
std::string_view to_string(invariant which) noexcept;

} // namespace kumquatpath

#endif
