#include <kumquatpath/decision/claim.hpp>
#include <kumquatpath/decision/invariant.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns whether a coordinator at \p version may still be granted records: its quorum
/// intersects those of every instance that decides.
bool is_acceptable(const roster_view& view, roster_version version, time_point now)
{
    const std::uint64_t own = view.current.version.value;
    return version.value >= own || (version.value + 1 == own && is_joint(view, now));
}

/// Keeps \p record until \p expires at least: the coordinator may repeat its claim.
void extend(claim_records& records, const submission_key& key, claim_record& record,
            time_point expires)
{
    if (expires > record.expires)
    {
        records.expiries.erase({record.expires, key});
        records.expiries.emplace(expires, key);
        record.expires = expires;
    }
}

/// Returns whether this instance may have given its vote on \p key to another coordinator
/// in advance before it restarted. Only a first holder can have had it, and in a version
/// that is no longer joint, no first holder of the one before.
bool may_have_voted_before(const roster_view& view, const submission_key& key,
                           instance_id coordinator, time_point now)
{
    return !remembers_advance_votes(view, now) &&
           (is_joint(view, now) ||
            first_holder(view.current.holders, key) != coordinator);
}

/// Returns whether the votes on \p key were given in advance to another coordinator.
bool is_kept_for_another(const claim_records& records, const submission_key& key,
                         instance_id coordinator, time_point now)
{
    const auto is_kept = [&](const auto& entry)
    {
        const granted_votes& votes = entry.second;
        const auto first = first_holder(votes.holders, key);
        const auto found = votes.until.find(*first);
        return found != votes.until.end() && first != coordinator && now < found->second;
    };
    return std::ranges::any_of(records.granted, is_kept);
}

/// Notes a record that keeps the first holder of its key from getting votes in advance.
void note_for_others(claim_records& records, const roster_view& view,
                     const submission_key& key, const claim_record& record)
{
    const auto first = first_holder(view.current.holders, key);
    if (first && first != record.coordinator)
    {
        time_point& until = records.held_for_others[*first];
        until = std::max(until, record.expires);
    }
}

/// Returns whether this instance may give \p wanted 's coordinator votes in advance: no
/// record of its keys stands for another, in this version or in the one before.
bool may_vote_in_advance(const claim_records& records, const roster_view& view,
                         instance_id from, const claim& wanted, time_point now)
{
    const auto found = records.held_for_others.find(from);
    const bool has_others = found != records.held_for_others.end() && now < found->second;
    const auto& holders = view.current.holders;
    return wanted.coordinator == from && !has_others && has_whole_memory(view, now) &&
           wanted.roster == view.current.version && !is_joint(view, now) &&
           now - view.learned_at >= view.options.longest_keep &&
           wanted.keep <= view.options.vote_lease &&
           std::ranges::find(holders, from) != holders.end();
}

claim_reply vote_in_advance(claim_records& records, const roster_view& view,
                            instance_id from, const claim& wanted, time_point now)
{
    claim_reply reply{
        .key = wanted.key, .coordinator = from, .roster = announced_version(view)};
    reply.valid = may_vote_in_advance(records, view, from, wanted, now);
    if (reply.valid)
    {
        granted_votes& votes = records.granted[view.current.version];
        votes.holders = view.current.holders;
        time_point& until = votes.until[from];
        until = std::max(until, now + wanted.keep + view.options.longest_keep);
    }
    return reply;
}

claim_reply reply_to(claim_records& records, const roster_view& view, const claim& wanted,
                     time_point now)
{
    claim_reply reply{.key = wanted.key, .roster = announced_version(view)};
    const bool may_hold = has_whole_memory(view, now) &&
                          wanted.keep <= view.options.longest_keep &&
                          is_acceptable(view, wanted.roster, now);
    const claim_record* stands =
        may_hold ? record_claim(records, view, wanted, now) : nullptr;
    if (stands != nullptr)
    {
        reply.valid = true;
        reply.coordinator = stands->coordinator;
        reply.decision = stands->decision;
    }
    return reply;
}

} // namespace

const claim_record* find_record(const claim_records& records, const submission_key& key)
{
    const auto found = records.by_key.find(key);
    return found == records.by_key.end() ? nullptr : &found->second;
}

const claim_record* record_claim(claim_records& records, const roster_view& view,
                                 const claim& wanted, time_point now)
{
    const time_point expires = now + wanted.keep;
    const auto found = records.by_key.find(wanted.key);
    if (found != records.by_key.end())
    {
        extend(records, wanted.key, found->second, expires);
        note_for_others(records, view, wanted.key, found->second);
        return &found->second;
    }
    if (records.by_key.size() >= records.bound ||
        is_kept_for_another(records, wanted.key, wanted.coordinator, now) ||
        may_have_voted_before(view, wanted.key, wanted.coordinator, now))
    {
        return nullptr;
    }
    const claim_record record{.coordinator = wanted.coordinator,
                              .decision = wanted.decision,
                              .expires = expires};
    records.expiries.emplace(expires, wanted.key);
    const claim_record& kept = records.by_key.emplace(wanted.key, record).first->second;
    note_for_others(records, view, wanted.key, kept);
    assert_invariant(invariant::table_stays_in_its_bound,
                     records.by_key.size() <= records.bound);
    return &kept;
}

void expire_records(claim_records& records, time_point now)
{
    while (!records.expiries.empty() && records.expiries.begin()->first <= now)
    {
        records.by_key.erase(records.expiries.begin()->second);
        records.expiries.erase(records.expiries.begin());
    }
    const auto is_over = [now](const auto& entry)
    {
        return entry.second <= now;
    };
    std::erase_if(records.held_for_others, is_over);
    for (auto& [version, votes] : records.granted)
    {
        std::erase_if(votes.until, is_over);
    }
    std::erase_if(records.granted,
                  [](const auto& entry) { return entry.second.until.empty(); });
}

void receive_claim(claim_records& records, const roster_view& view, instance_id from,
                   const claim& wanted, time_point now, action_list& actions)
{
    const claim_reply reply = is_every_key(wanted.key)
                                  ? vote_in_advance(records, view, from, wanted, now)
                                  : reply_to(records, view, wanted, now);
    actions.push_back(send_to_peer{.peer = from, .message = reply});
}

} // namespace kumquatpath
