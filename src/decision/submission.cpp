#include "submission_table.hpp"

#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/decision/submission.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

claim claim_of(const submission_state& state, const submission& entry,
               const submission_context& context)
{
    const duration left = entry.deadline - context.now + state.options.margin;
    return {.key = key_of(entry.header),
            .coordinator = context.roster.self,
            .decision = entry.claim.decision,
            .roster = context.roster.current.version,
            .keep = std::chrono::ceil<std::chrono::milliseconds>(left)};
}

/// Returns whether the votes of \p in_set that are cast or asked for reach a majority.
bool is_covered(const ballot& cast, bool holder_vote::*in_set)
{
    const auto counts = [in_set](const holder_vote& each)
    {
        return each.*in_set && (each.is_asked || each.record);
    };
    const auto size = std::ranges::count(cast.votes, true, in_set);
    const auto covered = std::ranges::count_if(cast.votes, counts);
    return static_cast<std::size_t>(covered) >=
           majority_of(static_cast<std::size_t>(size));
}

bool is_needed(const ballot& cast, const holder_vote& vote)
{
    return (vote.is_current && !is_covered(cast, &holder_vote::is_current)) ||
           (vote.is_previous && !is_covered(cast, &holder_vote::is_previous));
}

/// Asks holders for their votes: in the first round as few as make a majority, those that
/// seem alive first; in later rounds all that have not answered.
void ask_holders(const submission_state& state, submission& entry,
                 const submission_context& context, action_list& actions)
{
    const claim wanted = claim_of(state, entry, context);
    const bool is_first = entry.rounds == 0;
    for (const bool must_be_alive : {true, false})
    {
        for (holder_vote& each : entry.claim.votes)
        {
            const bool is_wanted = is_first ? is_needed(entry.claim, each) : true;
            if (each.record || is_alive(context.members, each.holder) != must_be_alive ||
                !is_wanted)
            {
                continue;
            }
            each.is_asked = true;
            actions.push_back(send_to_peer{.peer = each.holder, .message = wanted});
        }
    }
    ++entry.rounds;
}

/// Sends the submission to its target, once and never again.
void send_submission(submission_state& state, submission& entry, time_point now,
                     action_list& actions)
{
    assert_invariant(invariant::submission_runs_at_most_once,
                     !entry.was_sent && is_won(entry.claim) && now < entry.deadline);
    entry.was_sent = true;
    entry.stage = submission_stage::sent;
    state.waiting_bytes -= entry.payload.size();
    state.in_transit = std::move(entry.payload);
    entry.payload = {};
    send_to_target sent{
        .target = entry.target, .header = entry.header, .payload = state.in_transit};
    sent.header.hops = 0;
    sent.header.deadline =
        std::chrono::duration_cast<std::chrono::microseconds>(entry.deadline - now);
    actions.push_back(sent);
    schedule(state, entry, entry.deadline);
}

/// Ends a submission that was not sent; says "not run" only where the votes prove it.
void give_up(submission_state& state, submission& entry,
             const submission_context& context, action_list& actions)
{
    const bool is_late = context.now >= entry.deadline;
    const auto fallback =
        is_late ? refusal_reason::deadline_passed : refusal_reason::no_quorum;
    const auto reason = entry.refusal == refusal_reason::none ? fallback : entry.refusal;
    const auto outcome =
        can_never_run(entry.claim) ? request_outcome::not_run : request_outcome::unknown;
    const auto winner = other_coordinator(entry.claim);
    if (is_lost(entry.claim) && outcome == request_outcome::unknown && winner &&
        is_alive(context.members, *winner))
    {
        // The winner has a copy of its own and answers the caller.
        finish(state, entry, context.now);
        return;
    }
    finish_refused(state, entry, outcome, reason, context.now, actions);
}

} // namespace

void advance(submission_state& state, submission& entry,
             const submission_context& context, action_list& actions)
{
    const bool is_run = entry.claim.decision == claim_decision::run;
    const bool may_send = is_run && !entry.is_cancelled && context.now < entry.deadline;
    if (may_send && is_won(entry.claim))
    {
        send_submission(state, entry, context.now, actions);
        return;
    }
    const bool is_settled =
        (!may_send && can_never_run(entry.claim)) || is_lost(entry.claim);
    if (is_settled || context.now >= entry.deadline)
    {
        give_up(state, entry, context, actions);
    }
}

namespace
{

/// Records the claim here and asks the other holders.
submission* open_claim(submission_state& state, const submission_context& context,
                       const packet_header& header, claim_decision decision,
                       action_list& actions)
{
    submission* entry = add_submission(state, header, context.now);
    if (entry == nullptr)
    {
        tell_unknown(header, refusal_reason::table_full, actions);
        return nullptr;
    }
    entry->claim = open_ballot(context.roster.self, decision,
                               holders_of(context.roster, key_of(header), context.now));
    const claim own = claim_of(state, *entry, context);
    const claim_record* stands =
        record_claim(state.records, context.roster, own, context.now);
    if (stands == nullptr)
    {
        const bool is_full = state.records.by_key.size() >= state.records.bound;
        forget_submission(state, own.key);
        tell_unknown(header,
                     is_full ? refusal_reason::table_full : refusal_reason::no_quorum,
                     actions);
        return nullptr;
    }
    note_vote(entry->claim, context.roster.self, *stands);
    note_advance_votes(state, context, *entry);
    return entry;
}

void start_asking(submission_state& state, submission& entry,
                  const submission_context& context, action_list& actions)
{
    advance(state, entry, context, actions);
    if (entry.stage == submission_stage::claiming)
    {
        ask_holders(state, entry, context, actions);
        schedule(state, entry, context.now + state.options.claim_interval);
    }
}

/// Does what is due for a submission that waits for votes.
void tick_claim(submission_state& state, submission& entry,
                const submission_context& context, action_list& actions)
{
    advance(state, entry, context, actions);
    if (entry.stage != submission_stage::claiming)
    {
        return;
    }
    if (entry.rounds >= state.options.most_rounds)
    {
        give_up(state, entry, context, actions);
        return;
    }
    ask_holders(state, entry, context, actions);
    schedule(state, entry,
             std::min(entry.deadline, context.now + state.options.claim_interval));
}

} // namespace

void run_submission(submission_state& state, const submission_context& context,
                    const packet_header& header, payload_view payload, target_id target,
                    action_list& actions)
{
    if (state.waiting_bytes + payload.size() > state.options.most_waiting_bytes)
    {
        refuse_submission(state, context, header, refusal_reason::table_full, actions);
        return;
    }
    submission* entry = open_claim(state, context, header, claim_decision::run, actions);
    if (entry == nullptr)
    {
        return;
    }
    keep_payload(state, *entry, payload);
    entry->target = target;
    if (!is_won(entry->claim))
    {
        take_claim(state, context.now);
    }
    start_asking(state, *entry, context, actions);
}

void refuse_submission(submission_state& state, const submission_context& context,
                       const packet_header& header, refusal_reason reason,
                       action_list& actions)
{
    const bool is_won = is_won_in_advance(state, context, key_of(header));
    if (!is_won && !take_claim(state, context.now))
    {
        tell_unknown(header, reason, actions);
        return;
    }
    submission* entry =
        open_claim(state, context, header, claim_decision::refuse, actions);
    if (entry == nullptr)
    {
        return;
    }
    entry->refusal = reason;
    start_asking(state, *entry, context, actions);
}

void receive_claim_reply(submission_state& state, const submission_context& context,
                         instance_id from, const claim_reply& reply, action_list& actions)
{
    if (is_every_key(reply.key))
    {
        receive_advance_vote(state, context, from, reply);
        return;
    }
    submission* entry = find_submission(state, reply.key);
    if (entry == nullptr || !reply.valid || entry->stage != submission_stage::claiming)
    {
        return;
    }
    note_vote(entry->claim, from,
              {.coordinator = reply.coordinator, .decision = reply.decision});
    advance(state, *entry, context, actions);
}

void tick_submissions(submission_state& state, const submission_context& context,
                      action_list& actions)
{
    expire_records(state.records, context.now);
    ask_in_advance(state, context, actions);
    while (!state.agenda.empty() && state.agenda.begin()->first <= context.now)
    {
        const submission_key key = state.agenda.begin()->second;
        submission& entry = *find_submission(state, key);
        switch (entry.stage)
        {
        case submission_stage::claiming:
            tick_claim(state, entry, context, actions);
            break;
        case submission_stage::sent:
            finish_refused(state, entry, request_outcome::unknown,
                           refusal_reason::deadline_passed, context.now, actions);
            break;
        case submission_stage::finished:
            forget_submission(state, key);
            break;
        }
    }
}

} // namespace kumquatpath
