#include <kumquatpath/decision/invariant.hpp>

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace kumquatpath
{
namespace
{

std::array<std::atomic<std::uint64_t>, invariant_count> violation_counts{};
std::atomic<violation_policy> current_policy{violation_policy::count};

constexpr std::array<std::string_view, invariant_count> names = {
    "flow_keeps_its_target",        "packet_stays_in_its_service",
    "answer_meets_its_request",     "not_run_is_true",
    "submission_runs_at_most_once", "draining_target_gets_no_new_flow",
    "generation_never_reverts",     "table_stays_in_its_bound",
};

} // namespace

void violation_policy_is(violation_policy policy) noexcept
{
    current_policy.store(policy);
}

bool assert_invariant(invariant which, bool holds) noexcept
{
    if (holds) [[likely]]
    {
        return true;
    }
    violation_counts[static_cast<std::size_t>(which)].fetch_add(1);
    if (current_policy.load() == violation_policy::abort)
    {
        const auto name = to_string(which);
        std::fprintf(stderr, "broken invariant: %.*s\n", static_cast<int>(name.size()),
                     name.data());
        std::abort();
    }
    return false;
}

std::array<std::uint64_t, invariant_count> violations() noexcept
{
    std::array<std::uint64_t, invariant_count> copy{};
    for (std::size_t i = 0; i < invariant_count; ++i)
    {
        copy[i] = violation_counts[i].load();
    }
    return copy;
}

std::string_view to_string(invariant which) noexcept
{
    return names[static_cast<std::size_t>(which)];
}

} // namespace kumquatpath
