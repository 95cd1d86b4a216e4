#include "submission_table.hpp"

#include <algorithm>
#include <limits>

namespace kumquatpath
{
namespace
{

/// Returns whether \p vote counts: for the version in force, and not for too long.
bool counts(const advance_vote& vote, const submission_context& context)
{
    return vote.version == context.roster.current.version &&
           context.now < vote.valid_until;
}

bool has_vote_of(const submission_state& state, const submission_context& context,
                 instance_id holder)
{
    const auto is_his = [&](const advance_vote& vote)
    {
        return vote.holder == holder && counts(vote, context);
    };
    return std::ranges::any_of(state.advance.votes, is_his);
}

/// Returns whether this instance is the first holder of a key with \p sets. While the
/// version is joint no vote counts in advance.
bool is_first(const submission_context& context, const holder_sets& sets)
{
    return sets.previous.empty() && !sets.current.empty() &&
           sets.current.front() == context.roster.self;
}

} // namespace

bool take_claim(submission_state& state, time_point now)
{
    const double rate = state.options.claims_per_second;
    const std::chrono::duration<double> passed = now - state.refilled_at;
    state.claims_allowed = std::min(rate, state.claims_allowed + rate * passed.count());
    state.refilled_at = now;
    if (state.claims_allowed < 1)
    {
        state.advance.wanted_until = now + state.options.advance_period;
        return false;
    }
    state.claims_allowed -= 1;
    return true;
}

bool is_won_in_advance(const submission_state& state, const submission_context& context,
                       const submission_key& key)
{
    const holder_sets sets = holders_of(context.roster, key, context.now);
    if (!is_first(context, sets))
    {
        return false;
    }
    const auto votes = std::ranges::count_if(
        sets.current, [&](instance_id holder)
        { return holder == context.roster.self || has_vote_of(state, context, holder); });
    return static_cast<std::size_t>(votes) >= majority_of(sets.current.size());
}

void note_advance_votes(const submission_state& state, const submission_context& context,
                        submission& entry)
{
    const holder_sets sets =
        holders_of(context.roster, key_of(entry.header), context.now);
    if (!is_first(context, sets))
    {
        return;
    }
    for (const instance_id holder : sets.current)
    {
        if (has_vote_of(state, context, holder))
        {
            note_vote(
                entry.claim, holder,
                {.coordinator = context.roster.self, .decision = entry.claim.decision});
        }
    }
}

void ask_in_advance(submission_state& state, const submission_context& context,
                    action_list& actions)
{
    advance_votes& advance = state.advance;
    const roster& current = context.roster.current;
    if (context.now >= advance.wanted_until || context.now < advance.next_ask ||
        current.holders.size() > state.options.most_asked_holders ||
        !may_decide(context.roster, context.now) || is_joint(context.roster, context.now))
    {
        return;
    }
    ++advance.sequence.value;
    advance.asked_at = context.now;
    advance.next_ask = context.now + state.options.advance_interval;
    const claim wanted{.key = every_key(advance.sequence),
                       .coordinator = context.roster.self,
                       .roster = current.version,
                       .keep = std::chrono::floor<std::chrono::milliseconds>(
                           context.roster.options.vote_lease)};
    for (const instance_id each : current.holders)
    {
        if (each != context.roster.self)
        {
            actions.push_back(send_to_peer{.peer = each, .message = wanted});
        }
    }
}

void receive_advance_vote(submission_state& state, const submission_context& context,
                          instance_id from, const claim_reply& reply)
{
    advance_votes& advance = state.advance;
    if (!reply.valid || reply.key.request != advance.sequence ||
        reply.coordinator != context.roster.self)
    {
        return;
    }
    const advance_vote vote{.holder = from,
                            .version = reply.roster,
                            .valid_until =
                                advance.asked_at + context.roster.options.vote_lease};
    const auto known = std::ranges::find(advance.votes, from, &advance_vote::holder);
    if (known != advance.votes.end())
    {
        *known = vote;
        return;
    }
    std::erase_if(advance.votes,
                  [&](const advance_vote& each) { return !counts(each, context); });
    advance.votes.push_back(vote);
}

void stop_asking_in_advance(submission_state& state, time_point now)
{
    state.options.claims_per_second = std::numeric_limits<double>::max();
    state.advance.wanted_until = now;
}

bool may_hold_advance_votes(const submission_state& state, const roster_view& roster,
                            time_point now)
{
    const roster_options& times = roster.options;
    const duration longest_hold =
        times.vote_lease + times.longest_keep + times.longest_delay;
    return state.advance.sequence.value > 0 &&
           now - state.advance.asked_at < longest_hold;
}

} // namespace kumquatpath
