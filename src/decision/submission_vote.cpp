#include <kumquatpath/decision/submission_vote.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

using set_member = bool holder_vote::*;

constexpr set_member holder_set_flags[] = {&holder_vote::is_current,
                                           &holder_vote::is_previous};

std::size_t size_of(const ballot& cast, set_member in_set)
{
    return static_cast<std::size_t>(std::ranges::count(cast.votes, true, in_set));
}

template <class Predicate>
std::size_t count_votes(const ballot& cast, set_member in_set, Predicate which)
{
    const auto counts = [&](const holder_vote& each)
    {
        return each.*in_set && which(each);
    };
    return static_cast<std::size_t>(std::ranges::count_if(cast.votes, counts));
}

bool is_own(const ballot& cast, const holder_vote& vote)
{
    return vote.record && vote.record->coordinator == cast.self &&
           vote.record->decision == cast.decision;
}

bool is_run_of(const holder_vote& vote, instance_id coordinator)
{
    return vote.record && vote.record->coordinator == coordinator &&
           vote.record->decision == claim_decision::run;
}

/// Returns whether another coordinator holds, or may yet get, a majority of one set.
bool may_run_elsewhere(const ballot& cast, set_member in_set)
{
    const std::size_t unheard =
        count_votes(cast, in_set, [](const holder_vote& each) { return !each.record; });
    std::size_t most = 0;
    for (const holder_vote& each : cast.votes)
    {
        if (each.record && each.record->coordinator != cast.self)
        {
            const instance_id other = each.record->coordinator;
            most = std::max(most, count_votes(cast, in_set,
                                              [other](const holder_vote& vote)
                                              { return is_run_of(vote, other); }));
        }
    }
    return most + unheard >= majority_of(size_of(cast, in_set));
}

void add_holders(ballot& cast, const std::vector<instance_id>& holders, set_member in_set)
{
    for (const instance_id each : holders)
    {
        auto known = std::ranges::find(cast.votes, each, &holder_vote::holder);
        if (known == cast.votes.end())
        {
            known = cast.votes.insert(known, {.holder = each});
        }
        (*known).*in_set = true;
    }
}

} // namespace

ballot open_ballot(instance_id self, claim_decision decision, const holder_sets& sets)
{
    ballot cast{.self = self, .decision = decision};
    add_holders(cast, sets.current, &holder_vote::is_current);
    add_holders(cast, sets.previous, &holder_vote::is_previous);
    return cast;
}

void note_vote(ballot& cast, instance_id holder, const claim_record& record)
{
    const auto vote = std::ranges::find(cast.votes, holder, &holder_vote::holder);
    if (vote != cast.votes.end() && !vote->record)
    {
        vote->record = record;
    }
}

bool is_won(const ballot& cast)
{
    return std::ranges::all_of(holder_set_flags,
                               [&](set_member in_set)
                               {
                                   const std::size_t size = size_of(cast, in_set);
                                   const std::size_t own =
                                       count_votes(cast, in_set,
                                                   [&](const holder_vote& each)
                                                   { return is_own(cast, each); });
                                   return size == 0 || own >= majority_of(size);
                               });
}

bool is_lost(const ballot& cast)
{
    return std::ranges::any_of(holder_set_flags,
                               [&](set_member in_set)
                               {
                                   const std::size_t size = size_of(cast, in_set);
                                   const std::size_t others = count_votes(
                                       cast, in_set,
                                       [&](const holder_vote& each)
                                       { return each.record && !is_own(cast, each); });
                                   return size != 0 && size - others < majority_of(size);
                               });
}

bool can_never_run(const ballot& cast)
{
    return std::ranges::none_of(
        holder_set_flags, [&](set_member in_set)
        { return size_of(cast, in_set) != 0 && may_run_elsewhere(cast, in_set); });
}

std::optional<instance_id> other_coordinator(const ballot& cast)
{
    for (const holder_vote& each : cast.votes)
    {
        if (each.record && each.record->coordinator != cast.self)
        {
            return each.record->coordinator;
        }
    }
    return std::nullopt;
}

} // namespace kumquatpath
