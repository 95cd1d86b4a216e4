#include "submission_table.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <algorithm>

namespace kumquatpath
{

submission* find_submission(submission_state& state, const submission_key& key)
{
    const auto found = state.by_key.find(key);
    return found == state.by_key.end() ? nullptr : &found->second;
}

submission* add_submission(submission_state& state, const packet_header& header,
                           time_point now)
{
    if (state.by_key.size() >= state.options.most_submissions)
    {
        return nullptr;
    }
    submission& entry = state.by_key[key_of(header)];
    entry.header = header;
    entry.deadline = now + header.deadline;
    entry.expires = entry.deadline + state.options.margin;
    entry.due = now;
    state.agenda.emplace(now, key_of(header));
    assert_invariant(invariant::table_stays_in_its_bound,
                     state.by_key.size() <= state.options.most_submissions);
    return &entry;
}

void schedule(submission_state& state, submission& entry, time_point due)
{
    state.agenda.erase({entry.due, key_of(entry.header)});
    entry.due = due;
    state.agenda.emplace(due, key_of(entry.header));
}

bool keep_payload(submission_state& state, submission& entry, payload_view payload)
{
    if (state.waiting_bytes + payload.size() > state.options.most_waiting_bytes)
    {
        return false;
    }
    entry.payload.assign(payload.begin(), payload.end());
    state.waiting_bytes += payload.size();
    return true;
}

void finish(submission_state& state, submission& entry, time_point now)
{
    state.waiting_bytes -= entry.payload.size();
    entry.payload = {};
    entry.stage = submission_stage::finished;
    entry.finished_at = now;
    schedule(state, entry, entry.expires);
}

void keep_answer(submission_state& state, submission& entry, const packet_header& header,
                 payload_view payload)
{
    if (state.answer_bytes + payload.size() > state.options.most_answer_bytes)
    {
        return;
    }
    entry.answer = {.header = header, .payload = {payload.begin(), payload.end()}};
    state.answer_bytes += payload.size();
}

void finish_refused(submission_state& state, submission& entry, request_outcome outcome,
                    refusal_reason reason, time_point now, action_list& actions)
{
    assert_invariant(invariant::not_run_is_true,
                     outcome != request_outcome::not_run || !entry.was_sent);
    const packet_header refusal = refusal_of(entry.header, outcome, reason);
    finish(state, entry, now);
    keep_answer(state, entry, refusal, {});
    actions.push_back(send_to_caller{.header = refusal});
}

void forget_submission(submission_state& state, const submission_key& key)
{
    const auto found = state.by_key.find(key);
    if (found == state.by_key.end())
    {
        return;
    }
    const submission& entry = found->second;
    state.waiting_bytes -= entry.payload.size();
    state.answer_bytes -= entry.answer ? entry.answer->payload.size() : 0;
    state.agenda.erase({entry.due, key});
    state.by_key.erase(found);
}

packet_header refusal_of(const packet_header& header, request_outcome outcome,
                         refusal_reason reason)
{
    packet_header refusal = header;
    refusal.kind = packet_kind::refusal;
    refusal.outcome = outcome;
    refusal.reason = reason;
    refusal.hops = 0;
    refusal.fragment = 0;
    refusal.fragments = 1;
    return refusal;
}

bool is_alive(const member_view& members, instance_id which)
{
    const auto found = std::ranges::find(members.members, which, &member::instance);
    return found != members.members.end() && found->state == member_state::alive;
}

void tell_unknown(const packet_header& header, refusal_reason reason,
                  action_list& actions)
{
    actions.push_back(
        send_to_caller{.header = refusal_of(header, request_outcome::unknown, reason)});
}

} // namespace kumquatpath
