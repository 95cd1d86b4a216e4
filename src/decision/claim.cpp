#include <kumquatpath/decision/claim.hpp>
#include <kumquatpath/decision/invariant.hpp>

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

} // namespace

const claim_record* find_record(const claim_records& records, const submission_key& key)
{
    const auto found = records.by_key.find(key);
    return found == records.by_key.end() ? nullptr : &found->second;
}

const claim_record* record_claim(claim_records& records, const claim& wanted,
                                 time_point now)
{
    const time_point expires = now + wanted.keep;
    const auto found = records.by_key.find(wanted.key);
    if (found != records.by_key.end())
    {
        extend(records, wanted.key, found->second, expires);
        return &found->second;
    }
    if (records.by_key.size() >= records.bound)
    {
        return nullptr;
    }
    const claim_record record{.coordinator = wanted.coordinator,
                              .decision = wanted.decision,
                              .expires = expires};
    records.expiries.emplace(expires, wanted.key);
    const claim_record& kept = records.by_key.emplace(wanted.key, record).first->second;
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
}

void receive_claim(claim_records& records, const roster_view& view, instance_id from,
                   const claim& wanted, time_point now, action_list& actions)
{
    claim_reply reply{.key = wanted.key, .roster = view.current.version};
    const bool may_hold = has_whole_memory(view, now) &&
                          wanted.keep <= view.options.longest_keep &&
                          is_acceptable(view, wanted.roster, now);
    const claim_record* stands = may_hold ? record_claim(records, wanted, now) : nullptr;
    if (stands != nullptr)
    {
        reply.valid = true;
        reply.coordinator = stands->coordinator;
        reply.decision = stands->decision;
    }
    actions.push_back(send_to_peer{.peer = from, .message = reply});
}

} // namespace kumquatpath
