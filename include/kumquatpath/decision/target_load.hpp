#ifndef KUMQUATPATH_DECISION_TARGET_LOAD_HPP
#define KUMQUATPATH_DECISION_TARGET_LOAD_HPP

/// \file
/// The choice of a target for a new flow.
///
/// A flow goes to its slot's target, which costs no state, unless the evidence speaks
/// against it. Then it goes to the better of two others that are drawn at random, so no
/// crowd forms on the one that looks best. Such a flow deviates: it has to be listed with
/// its slot's keeper, so deviations are kept rare. When most targets of a service look
/// bad the fault is more likely on this side, and every flow stays with its slot.

#include <kumquatpath/decision/target_health.hpp>

#include <cstdint>
#include <span>

namespace kumquatpath
{

/// Draws pseudo-random numbers; a copy draws the same ones.
struct random_source
{
    std::uint64_t seed = 0;
    std::uint64_t drawn = 0;
};

/// Returns the next number in [0, 1).
double next_unit(random_source& random) noexcept;

/// Returns the next number in [0, \p count); \p count is not 0.
std::size_t next_below(random_source& random, std::size_t count) noexcept;

/// Where a new flow goes.
struct target_choice
{
    target_id target;
    /// The target isn't the slot's: the flow has to be listed with the slot's keeper.
    bool deviates = false;
    /// The flow tests a suspect target; to be passed to note_sent().
    bool is_probe = false;
};

/// What choose_target() goes by.
struct choice_options
{
    /// The targets of the service that take new flows.
    std::span<const target_id> active;
    /// The target of the flow's slot.
    target_id slot_target;
    /// Whether the flow's first request may be repeated; such flows test suspect targets.
    bool is_repeatable = false;
};

/// Chooses the target of a new flow. It is the slot's target, or one of \p
/// options.active.
target_choice choose_target(const target_health& health, random_source& random,
                            const choice_options& options, time_point now) noexcept;

/// Returns how loaded \p seen looks: what is in flight times what an answer takes, worse
/// with refusals and while cold. A report counts only when no answer was ever seen.
double score_of(const target_evidence& seen, time_point now) noexcept;

} // namespace kumquatpath

#endif
