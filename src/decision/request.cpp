#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/decision/request.hpp>
#include <kumquatpath/decision/submission.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

tracked_request* find_request(request_state& state, const submission_key& key)
{
    const auto found = state.by_key.find(key);
    return found == state.by_key.end() ? nullptr : &found->second;
}

void schedule(request_state& state, tracked_request& entry, time_point due)
{
    state.agenda.erase({entry.due, key_of(entry.header)});
    entry.due = due;
    state.agenda.emplace(due, key_of(entry.header));
}

void send_try(const tracked_request& entry, time_point now, action_list& actions)
{
    send_to_target sent{
        .target = entry.tried.back(), .header = entry.header, .payload = entry.payload};
    sent.header.hops = 0;
    sent.header.deadline =
        std::chrono::duration_cast<std::chrono::microseconds>(entry.deadline - now);
    actions.push_back(sent);
}

/// Returns whether a copy of \p header may be kept for another try.
bool is_kept(const request_state& state, const packet_header& header,
             payload_view payload)
{
    return header.repeatable && header.kind == packet_kind::open &&
           state.by_key.size() < state.options.most_requests &&
           state.bytes + payload.size() <= state.options.most_bytes;
}

/// Takes a retry for \p entry out of its budget, if it may have one.
bool grant_retry(request_state& state, tracked_request& entry, time_point now)
{
    const bool may_retry = !entry.is_answering && now < entry.deadline &&
                           entry.tried.size() < state.options.most_tries;
    entry.is_retry_granted = may_retry && take_retry(state.budgets, entry.header.service,
                                                     entry.header.traffic_class);
    return entry.is_retry_granted;
}

/// Returns whether \p header says that the request did not run.
bool is_not_run(const packet_header& header)
{
    return header.kind == packet_kind::refusal &&
           header.outcome == request_outcome::not_run;
}

} // namespace

void send_request(request_state& state, const packet_header& header, payload_view payload,
                  target_id target, time_point now, action_list& actions)
{
    state.budgets.options = state.options.retry;
    const submission_key key = key_of(header);
    if (state.by_key.contains(key) || !is_kept(state, header, payload))
    {
        actions.push_back(
            send_to_target{.target = target, .header = header, .payload = payload});
        return;
    }
    earn_retry(state.budgets, header.service, header.traffic_class);
    tracked_request& entry = state.by_key[key];
    entry = {.header = header,
             .payload = {payload.begin(), payload.end()},
             .tried = {target},
             .deadline = now + header.deadline};
    state.bytes += payload.size();
    schedule(state, entry, std::min(entry.deadline, now + state.options.silence));
    assert_invariant(invariant::table_stays_in_its_bound,
                     state.by_key.size() <= state.options.most_requests);
    send_try(entry, now, actions);
}

request_verdict receive_request_answer(request_state& state, target_id from,
                                       const packet_header& header, time_point now)
{
    tracked_request* entry = find_request(state, key_of(header));
    if (entry == nullptr)
    {
        return request_verdict::untracked;
    }
    if (from != entry->tried.back() || header.return_path != entry->header.return_path)
    {
        return request_verdict::drop;
    }
    if (is_not_run(header) && grant_retry(state, *entry, now))
    {
        return request_verdict::retry;
    }
    entry->is_answering = true;
    if (header.kind != packet_kind::answer || header.fragments <= 1)
    {
        forget_request(state, key_of(header));
    }
    return request_verdict::relay;
}

std::vector<target_id> tried_targets(const request_state& state,
                                     const submission_key& key)
{
    const auto found = state.by_key.find(key);
    return found == state.by_key.end() ? std::vector<target_id>{} : found->second.tried;
}

void retry_request(request_state& state, const submission_key& key, target_id target,
                   time_point now, action_list& actions)
{
    tracked_request* entry = find_request(state, key);
    if (entry == nullptr || !entry->is_retry_granted || now >= entry->deadline)
    {
        return;
    }
    entry->is_retry_granted = false;
    entry->tried.push_back(target);
    schedule(state, *entry, std::min(entry->deadline, now + state.options.silence));
    send_try(*entry, now, actions);
}

void forget_request(request_state& state, const submission_key& key)
{
    const auto found = state.by_key.find(key);
    if (found == state.by_key.end())
    {
        return;
    }
    state.bytes -= found->second.payload.size();
    state.agenda.erase({found->second.due, key});
    state.by_key.erase(found);
}

bool cancel_request(request_state& state, const packet_header& header,
                    action_list& actions)
{
    const submission_key key = key_of(header);
    const tracked_request* entry = find_request(state, key);
    if (entry == nullptr || entry->header.return_path != header.return_path)
    {
        return false;
    }
    actions.push_back(send_to_target{.target = entry->tried.back(), .header = header});
    forget_request(state, key);
    return true;
}

std::vector<submission_key> tick_requests(request_state& state, time_point now)
{
    std::vector<submission_key> wanted;
    while (!state.agenda.empty() && state.agenda.begin()->first <= now)
    {
        const submission_key key = state.agenda.begin()->second;
        tracked_request& entry = *find_request(state, key);
        if (now >= entry.deadline)
        {
            forget_request(state, key);
            continue;
        }
        schedule(state, entry, entry.deadline);
        if (grant_retry(state, entry, now))
        {
            wanted.push_back(key);
        }
    }
    return wanted;
}

} // namespace kumquatpath
