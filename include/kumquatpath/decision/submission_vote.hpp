#ifndef KUMQUATPATH_DECISION_SUBMISSION_VOTE_HPP
#define KUMQUATPATH_DECISION_SUBMISSION_VOTE_HPP

/// \file
/// The votes of the holders on one claim, and what they prove.

#include <kumquatpath/decision/claim.hpp>

#include <optional>
#include <vector>

namespace kumquatpath
{

/// What is known of one holder's record.
struct holder_vote
{
    instance_id holder;
    bool is_current = false;
    bool is_previous = false;
    /// Whether a claim was sent to the holder.
    bool is_asked = false;
    /// The record that stands there; nothing until a valid reply came.
    std::optional<claim_record> record;
};

/// The votes on one claim, in the order of the holders' ranks.
struct ballot
{
    instance_id self;
    claim_decision decision = claim_decision::run;
    std::vector<holder_vote> votes;
};

/// Returns a ballot without votes over \p sets.
ballot open_ballot(instance_id self, claim_decision decision, const holder_sets& sets);

/// Notes the record that stands at \p holder; the first note stands.
void note_vote(ballot& cast, instance_id holder, const claim_record& record);

/// Returns whether a majority of every holder set holds the ballot's own claim.
bool is_won(const ballot& cast);

/// Returns whether some holder set can no longer give the ballot a majority.
bool is_lost(const ballot& cast);

/// Returns whether no coordinator has won, or can ever win, the right to run the
/// submission, provided that the ballot's own coordinator never sends it.
bool can_never_run(const ballot& cast);

/// Returns the coordinator that another record names, if one does.
std::optional<instance_id> other_coordinator(const ballot& cast);

} // namespace kumquatpath

#endif
