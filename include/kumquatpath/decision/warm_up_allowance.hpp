#ifndef KUMQUATPATH_DECISION_WARM_UP_ALLOWANCE_HPP
#define KUMQUATPATH_DECISION_WARM_UP_ALLOWANCE_HPP

/// \file
/// Decides whether a target that warms up may take a new flow from this instance.
///
/// The warm_up_policy of a service may limit the new flows per second that a target gets
/// from the whole fleet while it warms up. No instance asks another one: each has short
/// permission windows for each such target, at an interval that grows with the number of
/// instances and with a phase that is drawn by hash. A window allows one flow, and a
/// window that passes unused is lost, so no burst follows an idle time. The interval is
/// chosen such that two halves of the fleet that do not know each other stay below
/// max_flows_per_second() together. See docs/design/warm-up.md.
///
/// Without a stated rate, and after the warm-up of a target with one, the share of the
/// flows that consider the target at its usual cost grows with time.

#include <kumquatpath/decision/target_directory.hpp>
#include <kumquatpath/model/routing_table.hpp>

#include <vector>

namespace kumquatpath
{

/// An instance that has just started uses no target with a limit for this long, as it
/// does not know yet how many instances share the limit.
inline constexpr duration warm_up_discovery_time = std::chrono::seconds(5);

/// The permission windows of one target.
struct warm_up_windows
{
    target_key key;
    /// The start of the warm-up to which the windows belong; see known_target.
    time_point warm_up_since;
    /// The policy's limit and, derived from it, the rate at which the fleet uses it.
    double flows_per_second = 0;
    double used_flows_per_second = 0;
    /// The time from the start of one window to that of the next.
    duration interval{0};
    /// When the next window opens, or when the current one has opened.
    time_point next_at;
};

/// The state of one instance for all targets that warm up.
struct warm_up_allowance
{
    /// Differs between any two starts of any instances.
    std::uint64_t instance_seed = 0;
    /// The number of instances that share each limit, including this one.
    std::uint32_t instances = 1;
    /// Until then, this instance uses no target with a limit.
    time_point usable_from;
    /// By the targets' index in the directory.
    std::vector<warm_up_windows> windows;
    /// Flows placed on targets with a limit during their warm-up.
    std::uint64_t flows_used = 0;
    /// Flows that were refused because all targets of their service had used up their
    /// limit.
    std::uint64_t flows_refused = 0;
};

/// How a target may be used for one flow.
struct warm_up_use
{
    /// If false, the target must not get the flow.
    bool is_allowed = true;
    /// Added to the cost of the target.
    double cost = 0;
};

/// The targets that warm up at one moment.
struct warm_up_summary
{
    std::size_t targets = 0;
    /// The time until the last of their warm-ups ends.
    duration longest_left{0};
};

// Queries.

/// Returns the end of the warm-up of \p target. It is at most the policy's duration after
/// the first announcement of this start of the target. \p policy may be null.
time_point warm_up_end(const known_target& target, const warm_up_policy* policy);

/// Returns whether \p target warms up at \p now. \p policy may be null.
bool is_warming_up(const known_target& target, const warm_up_policy* policy,
                   time_point now);

/// Returns whether \p policy, which may be null, limits the new flows of \p target at
/// \p now.
bool has_warm_up_limit(const known_target& target, const warm_up_policy* policy,
                       time_point now);

/// Returns the most new flows that a target with the limit \p flows_per_second may get
/// within any second.
double max_flows_per_second(double flows_per_second);

/// Returns the rate at which the fleet uses the limit \p flows_per_second. It is lower
/// than the limit, so that two halves of the fleet which do not know each other exceed
/// max_flows_per_second() in less than about one of 10^5 seconds even if all callers
/// send at once after a pause.
double used_flows_per_second(double flows_per_second);

/// Returns the policy of \p service in \p table, or null if it has none.
const warm_up_policy* find_warm_up_policy(const routing_table& table, service_id service);

/// Returns which announced targets of \p directory warm up at \p now by the policies in
/// \p table, which may be null.
warm_up_summary summarize_warm_ups(const target_directory& directory,
                                   const routing_table* table, time_point now);

// Commands.

/// Returns how the target at \p index may be used at \p now for a flow with the random
/// bits \p random. Without a policy, every use is allowed at no cost.
warm_up_use warm_up_use_of(warm_up_allowance& allowance, const warm_up_policy* policy,
                           const target_directory& directory, target_index index,
                           std::uint64_t random, time_point now);

/// Records that a flow was placed on the target at \p index, which closes the window that
/// allowed it. Has no effect for a target without a limit.
void record_warm_up_use(warm_up_allowance& allowance, const warm_up_policy* policy,
                        const target_directory& directory, target_index index,
                        time_point now);

/// Sets the time that is left of each warm-up in \p changes to what is left of it at
/// \p now. To be called on changes that a peer is about to get, as their announcements
/// may be old.
void restate_warm_ups(const target_directory& directory,
                      std::vector<target_change>& changes, time_point now);

} // namespace kumquatpath

#endif
