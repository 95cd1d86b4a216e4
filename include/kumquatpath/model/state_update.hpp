#ifndef KUMQUATPATH_MODEL_STATE_UPDATE_HPP
#define KUMQUATPATH_MODEL_STATE_UPDATE_HPP

/// \file
/// The part of the shared state that changes all the time, as it travels from the store
/// to the instances and between them: the announcements of targets and the evacuations of
/// data centres.

#include <kumquatpath/model/target_record.hpp>

#include <string>
#include <vector>

namespace kumquatpath
{

/// The completeness of an update from a peer that does not state it.
inline constexpr state_revision unknown_completeness{.value = 0xffffffffffffffffU,
                                                     .era = {0xffffffffU}};

/// One change of the operators' requests to evacuate a data centre, that is, to send no
/// new flows to its targets.
struct evacuation_change
{
    data_centre_id data_centre;
    /// The name as the operators wrote it; empty if the source of this change lacks it.
    std::string name;
    state_revision revision;
    /// The data centre takes new flows again.
    bool is_withdrawn = false;
};

/// The whole shared state at a position, or the changes between two positions.
struct state_update
{
    /// Includes every change up to and including this one.
    state_revision position;
    /// An update that is not whole has every change after this one, removals included, up
    /// to \c position.
    state_revision complete_from;
    /// Lists every target that was announced and every evacuation that was in force at
    /// \c position; whatever it lacks was gone by then.
    bool is_whole = false;
    std::vector<target_change> targets;
    std::vector<evacuation_change> evacuations;
};

} // namespace kumquatpath

#endif
