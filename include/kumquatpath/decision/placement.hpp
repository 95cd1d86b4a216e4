#ifndef KUMQUATPATH_DECISION_PLACEMENT_HPP
#define KUMQUATPATH_DECISION_PLACEMENT_HPP

/// \file
/// Placement of a service's slots on its targets, as a pure function of the
/// configuration.
///
/// Each flow falls in one slot of its service, and each slot rests on one target. Two
/// instances that hold the same configuration compute the same placement, whoever else is
/// alive, so most flows need no state to be found.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/ids.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace kumquatpath
{

/// Returns the slot of \p flow among \p slot_count slots, which is a power of two.
slot_index slot_of(flow_id flow, std::uint32_t slot_count) noexcept;

/// Returns the count of slots for a service of \p target_count targets: a power of two of
/// at least 100 slots a target, so that the shares of targets stay close to even. It
/// grows in large steps, because a new count moves most slots.
std::uint32_t slot_count_for(std::size_t target_count) noexcept;

/// Places \p slot_count slots on \p targets, which are distinct and in ascending order.
///
/// Rendezvous hashing with a cap: a slot goes to the target that scores highest for it
/// among those that are not full, and a target is full at its even share plus 2%. A
/// target that comes or goes moves little more than its own share of slots. Returns one
/// target a slot, or nothing when \p targets is empty.
std::vector<target_id> place_slots(std::span<const target_id> targets,
                                   std::uint32_t slot_count);

/// Returns the targets of \p pool that take new flows, in ascending order: those that are
/// neither draining nor in a data centre that is.
std::vector<target_id> active_targets(const configuration& whole,
                                      const target_pool& pool);

} // namespace kumquatpath

#endif
