#ifndef KUMQUATPATH_BENCH_RETRY_INSTANCE_HPP
#define KUMQUATPATH_BENCH_RETRY_INSTANCE_HPP

/// \file
/// What an instance of the world does: membership, roster and submissions, the latter
/// through the real functions or as one of the baselines.

#include "retry_world.hpp"

namespace kumquatpath::bench
{

inline constexpr target_id only_target{900};

/// Lets the target serve a submission that \p sender sent in its \p incarnation.
void serve(world& all, std::size_t sender, std::uint64_t incarnation,
           const packet_header& header);
/// Kills or pauses a coordinator that has just sent a claim, at times.
void strike_coordinator(world& all, std::size_t i);
/// Passes a command to the store.
void ask_store(world& all, std::size_t i, const store_command& command);
/// Takes a submission at instance \p i.
void take_submission(world& all, std::size_t i, const packet_header& header);
/// Carries out what instance \p i decided.
void carry_out(world& all, std::size_t i, const action_list& actions);

inline bool uses_claims(const world& all)
{
    return all.options.variant >= submission_variant::claims;
}

inline submission_context context_of(const world& all, std::size_t i)
{
    const node& which = all.nodes[i];
    return {.roster = which.roster, .members = which.members, .now = all.queue.now()};
}

// The baselines.

inline void send_baseline(world& all, std::size_t i, const packet_header& header,
                          action_list& actions)
{
    all.nodes[i].seen.insert(key_of(header));
    actions.push_back(send_to_target{.target = only_target, .header = header});
}

/// Sends a submission of two_holders_no_fence that waits for its second keeper, if it
/// still does.
inline void send_waiting(world& all, std::size_t i, const submission_key& key)
{
    const auto found = all.nodes[i].waiting.find(key);
    if (found == all.nodes[i].waiting.end())
    {
        return;
    }
    action_list actions;
    send_baseline(all, i, found->second, actions);
    all.nodes[i].waiting.erase(found);
    carry_out(all, i, actions);
}

/// The first keeper tells the second and goes on when that has answered or seems dead.
inline void take_at_two_holders(world& all, std::size_t i, const packet_header& header,
                                action_list& actions)
{
    constexpr duration second_keeper_timeout = std::chrono::milliseconds{60};
    node& which = all.nodes[i];
    const submission_key key = key_of(header);
    const std::uint64_t hash = submission_key_hash{}(key);
    const auto first = keeper_of(which.members, hash, 0);
    const auto second = keeper_of(which.members, hash, 1);
    if (first != which.id && header.hops == 0)
    {
        pass_to_peer passed{.peer = *first, .header = header};
        ++passed.header.hops;
        actions.push_back(passed);
        return;
    }
    which.seen.insert(key);
    which.waiting[key] = header;
    if (second)
    {
        actions.push_back(send_to_peer{
            .peer = *second, .message = claim{.key = key, .coordinator = which.id}});
    }
    all.queue.after(second_keeper_timeout, [&all, i, key]
                    { run_at(all, i, [&all, i, key] { send_waiting(all, i, key); }); });
}

inline void take_at_baseline(world& all, std::size_t i, const packet_header& header,
                             action_list& actions)
{
    const bool remembers = all.options.variant != submission_variant::no_memory;
    if (remembers && all.nodes[i].seen.contains(key_of(header)))
    {
        actions.push_back(drop_packet{drop_reason::duplicate});
    }
    else if (chance(all, all.options.early_refusals))
    {
        all.nodes[i].seen.insert(key_of(header));
        packet_header refusal = header;
        refusal.kind = packet_kind::refusal;
        refusal.outcome = request_outcome::not_run;
        actions.push_back(send_to_caller{.header = refusal});
    }
    else if (all.options.variant == submission_variant::two_holders_no_fence)
    {
        take_at_two_holders(all, i, header, actions);
    }
    else
    {
        send_baseline(all, i, header, actions);
    }
}

// The real functions.

inline void take_with_claims(world& all, std::size_t i, const packet_header& header,
                             action_list& actions)
{
    submission_state& state = all.nodes[i].submissions;
    const submission_context context = context_of(all, i);
    if (route_submission(state, context, header, {}, actions) ==
        submission_route::handled)
    {
        return;
    }
    if (chance(all, all.options.early_refusals))
    {
        refuse_submission(state, context, header, refusal_reason::overload, actions);
        return;
    }
    run_submission(state, context, header, {}, only_target, actions);
}

inline void take_submission(world& all, std::size_t i, const packet_header& header)
{
    action_list actions;
    uses_claims(all) ? take_with_claims(all, i, header, actions)
                     : take_at_baseline(all, i, header, actions);
    carry_out(all, i, actions);
    const auto is_claim = [](const action& each)
    {
        return std::holds_alternative<send_to_peer>(each);
    };
    if (std::ranges::any_of(actions, is_claim))
    {
        strike_coordinator(all, i);
    }
}

inline void take_claim(world& all, std::size_t i, instance_id from, const claim& wanted)
{
    node& which = all.nodes[i];
    action_list actions;
    if (uses_claims(all))
    {
        receive_claim(which.submissions.records, which.roster, from, wanted,
                      all.queue.now(), actions);
        if (all.options.variant == submission_variant::claims_no_kept_votes)
        {
            which.submissions.records.granted.clear();
        }
    }
    else
    {
        which.seen.insert(wanted.key);
        const claim_reply reply{.key = wanted.key, .valid = true};
        actions.push_back(send_to_peer{.peer = from, .message = reply});
    }
    carry_out(all, i, actions);
}

inline void take_claim_reply(world& all, std::size_t i, instance_id from,
                             const claim_reply& reply)
{
    if (!uses_claims(all))
    {
        send_waiting(all, i, reply.key);
        return;
    }
    action_list actions;
    receive_claim_reply(all.nodes[i].submissions, context_of(all, i), from, reply,
                        actions);
    carry_out(all, i, actions);
}

/// Takes the target's answer; one that should have been passed on and was not is counted.
inline void take_answer(world& all, std::size_t i, std::uint64_t incarnation,
                        const packet_header& header)
{
    node& which = all.nodes[i];
    action_list actions;
    bool is_awaited = which.incarnation == incarnation;
    if (uses_claims(all))
    {
        const auto found = which.submissions.by_key.find(key_of(header));
        is_awaited = is_awaited && found != which.submissions.by_key.end() &&
                     found->second.stage == submission_stage::sent;
        receive_submission_answer(which.submissions, only_target, header, {},
                                  all.queue.now(), actions);
    }
    else
    {
        actions.push_back(send_to_caller{.header = header});
    }
    const bool is_passed_on =
        !actions.empty() && std::holds_alternative<send_to_caller>(actions.front());
    all.outcome.lost_answers += is_awaited && !is_passed_on ? 1U : 0U;
    carry_out(all, i, actions);
}

// Membership and roster.

inline void refresh_members(world& all, node& which)
{
    constexpr duration silence = std::chrono::milliseconds{1600};
    for (member& each : which.members.members)
    {
        if (each.instance == which.id)
        {
            each.last_heard = all.queue.now();
        }
        else if (all.queue.now() - each.last_heard > silence)
        {
            each.state = member_state::dead;
        }
    }
}

inline void tick_instance(world& all, std::size_t i)
{
    constexpr duration interval = std::chrono::milliseconds{20};
    node& which = all.nodes[i];
    if (which.is_up && !which.is_paused)
    {
        action_list actions;
        store_command_list commands;
        refresh_members(all, which);
        tick_roster(which.roster, all.queue.now());
        tick_submissions(which.submissions, context_of(all, i), actions);
        tick_roster_leader(which.leader, which.roster, which.members, all.queue.now(),
                           commands);
        carry_out(all, i, actions);
        for (const store_command& each : commands)
        {
            ask_store(all, i, each);
        }
    }
    all.queue.after(interval, [&all, i] { tick_instance(all, i); });
}

/// Tells a peer that announced an older version of the roster about the newer one.
inline void tell_of_roster(world& all, std::size_t i, instance_id peer,
                           roster_version announced)
{
    const auto notice = notice_of(all.nodes[i].roster, all.queue.now());
    if (!notice || announced >= notice->value.version)
    {
        return;
    }
    carry_to_peer(
        all, i, peer,
        [&all, notice = *notice](std::size_t to)
        { learn_roster_from_peer(all.nodes[to].roster, notice, all.queue.now()); });
}

inline void hear_sign_of_life(world& all, std::size_t i, instance_id from)
{
    auto& known = all.nodes[i].members.members;
    auto sender = std::ranges::lower_bound(known, from, {}, &member::instance);
    if (sender == known.end() || sender->instance != from)
    {
        sender = known.insert(sender, {.instance = from, .since = all.queue.now()});
    }
    if (sender->state == member_state::dead)
    {
        sender->since = all.queue.now();
    }
    sender->state = member_state::alive;
    sender->last_heard = all.queue.now();
}

inline void hear_heartbeat(world& all, std::size_t i, instance_id from,
                           roster_version version)
{
    node& which = all.nodes[i];
    hear_sign_of_life(all, i, from);
    hear_roster_version(which.roster, from, version, all.queue.now());
    hear_of_roster(which.leader, version);
    tell_of_roster(all, i, from, version);
}

inline void send_heartbeats(world& all, std::size_t i)
{
    constexpr duration interval = std::chrono::milliseconds{500};
    const node& which = all.nodes[i];
    if (which.is_up && !which.is_paused)
    {
        const instance_id self = which.id;
        const roster_version version = announced_version(which.roster);
        for (const node& each : all.nodes)
        {
            if (each.id != self)
            {
                carry_to_peer(all, i, each.id,
                              [&all, self, version](std::size_t to)
                              { hear_heartbeat(all, to, self, version); });
            }
        }
    }
    all.queue.after(interval, [&all, i] { send_heartbeats(all, i); });
}

// Actions.

inline void carry_out(world& all, std::size_t i, const send_to_target& what)
{
    if (what.header.kind == packet_kind::cancel || chance(all, all.options.loss))
    {
        return;
    }
    const std::uint64_t incarnation = all.nodes[i].incarnation;
    all.queue.after(any_delay(all), [&all, i, incarnation, header = what.header]
                    { serve(all, i, incarnation, header); });
}

inline void carry_out(world& all, std::size_t, const send_to_caller& what)
{
    if (!chance(all, all.options.loss))
    {
        all.queue.after(any_delay(all),
                        [&all, header = what.header] { note_told(all.outcome, header); });
    }
}

inline void carry_out(world& all, std::size_t i, const pass_to_peer& what)
{
    carry_to_peer(all, i, what.peer,
                  [&all, header = what.header](std::size_t to)
                  { take_submission(all, to, header); });
}

inline void carry_out(world& all, std::size_t i, const send_to_peer& what)
{
    const instance_id self = all.nodes[i].id;
    if (const auto* wanted = std::get_if<claim>(&what.message))
    {
        ++all.outcome.claims;
        carry_to_peer(all, i, what.peer,
                      [&all, self, wanted = *wanted](std::size_t to)
                      { take_claim(all, to, self, wanted); });
    }
    if (const auto* reply = std::get_if<claim_reply>(&what.message))
    {
        ++all.outcome.claim_replies;
        carry_to_peer(all, i, what.peer,
                      [&all, self, reply = *reply](std::size_t to)
                      { take_claim_reply(all, to, self, reply); });
    }
}

inline void carry_out(world&, std::size_t, const drop_packet&) {}

inline void carry_out(world& all, std::size_t i, const action_list& actions)
{
    for (const action& each : actions)
    {
        std::visit([&all, i](const auto& what) { carry_out(all, i, what); }, each);
    }
}

} // namespace kumquatpath::bench

#endif
