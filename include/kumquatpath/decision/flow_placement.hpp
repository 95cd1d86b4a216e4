#ifndef KUMQUATPATH_DECISION_FLOW_PLACEMENT_HPP
#define KUMQUATPATH_DECISION_FLOW_PLACEMENT_HPP

/// \file
/// Where the slots of every service rest, and where they rested while flows that are
/// still open may have been opened.
///
/// Everything here is a pure function of one configuration, so an instance that has only
/// the newest configuration knows the whole history.

#include <kumquatpath/decision/placement.hpp>
#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace kumquatpath
{

/// A past target of one slot.
struct slot_stay
{
    target_id target;
    /// The generation from which the slot no longer rested on the target.
    generation retired_in;
    /// When every flow that was opened during the stay is expected to be over.
    wall_time expires;
};

/// The past stays of one slot that has moved: a range of service_placement::stays.
struct moved_slot
{
    slot_index slot;
    std::uint32_t first_stay = 0;
    std::uint32_t stay_count = 0;
};

/// One past set of active targets with its times; what a placement is built from.
struct placement_layer
{
    std::vector<target_id> targets;
    generation retired_in;
    wall_time expires;

    friend bool operator==(const placement_layer&, const placement_layer&) = default;
};

/// The slots of one service. Only slots that have moved hold a history.
struct service_placement
{
    service_id service;
    /// A power of two.
    std::uint32_t slot_count = 0;
    /// Targets of the present and of every live past set, in ascending order.
    std::vector<target_id> targets;
    /// For each slot the index of its present target in \c targets; empty without one.
    std::vector<std::uint16_t> current;
    /// In ascending order of slot.
    std::vector<moved_slot> moves;
    /// Oldest first for each moved slot.
    std::vector<slot_stay> stays;
    /// The sets that this was built from, oldest first; the last one is the present set.
    std::vector<placement_layer> layers;
};

/// The placements of every service of one configuration.
struct placement_plan
{
    kumquatpath::generation generation;
    std::unordered_map<service_id, std::shared_ptr<const service_placement>> services;
};

/// Where the flows of one slot rest at one moment.
struct slot_lookup
{
    /// Whether a flow of the slot may rest on another target than \c current.
    bool is_moved = false;
    /// The target of every flow that no keeper has listed; 0 when there is none.
    target_id base;
    /// The target of a flow that is opened now; 0 when there is none.
    target_id current;
};

/// How long keepers go on listing new flows of a slot after its last past stay expired.
///
/// Instances agree on the wall time to within a second or so. The grace keeps one that
/// still takes an unlisted flow for an old one apart from one that already opens flows
/// without listing them.
inline constexpr std::chrono::seconds expiry_grace{10};

/// Returns the placements of \p whole at \p wall. A service whose sets of targets are
/// those of \p previous shares its placement. Cost: proportional to the slots times the
/// targets of the services that changed; call it off the packet path.
std::shared_ptr<const placement_plan> plan_placements(const configuration& whole,
                                                      const placement_plan* previous,
                                                      wall_time wall);

/// Looks up \p slot at \p wall. New flows follow the placement of generation \p switched,
/// or the plan's own if it is not newer.
slot_lookup look_up(const service_placement& placement, slot_index slot, wall_time wall,
                    generation switched) noexcept;

/// Returns the live past targets of \p slot and then the present one, each once.
std::vector<target_id> history_of(const service_placement& placement, slot_index slot,
                                  wall_time wall);

/// Tells whether \p target serves, or served, flows of the service.
bool holds_target(const service_placement& placement, target_id target) noexcept;

/// Returns the generation that new flows follow at an instance which has just started
/// with \p whole: that of \p whole, or the one before the oldest change that its peers
/// may not yet know of.
generation initial_switch(const configuration& whole, wall_time wall) noexcept;

} // namespace kumquatpath

#endif
