#ifndef KUMQUATPATH_DECISION_CLAIM_HPP
#define KUMQUATPATH_DECISION_CLAIM_HPP

/// \file
/// The claims that one instance holds: a bounded table of write-once records.
///
/// Guarantee: the first record of a key stands until it expires; nothing replaces it and
/// a full table evicts nothing. Failure: a full table, an instance that has lost what it
/// held, or a coordinator whose roster is too old, gets no record.
///
/// Advance votes: a claim for every_key() asks a holder for its votes on all keys of
/// which the coordinator is the first holder, for the time of claim::keep. A holder that
/// grants it gives no record of such a key to anybody else until every submission that
/// the coordinator may have decided in that time has expired. So a coordinator that has
/// the votes of a majority in advance decides without a message. The price is paid when
/// it dies: nobody decides its keys for as long. So they are asked for only under a
/// flood.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/roster.hpp>
#include <kumquatpath/model/peer_message.hpp>

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace kumquatpath
{

/// Hashes a submission's key.
struct submission_key_hash
{
    std::size_t operator()(const submission_key& key) const noexcept
    {
        return mix(mix(key.service.value, key.flow.value), key.request.value);
    }
};

/// The decision that a holder keeps for one submission.
struct claim_record
{
    instance_id coordinator;
    claim_decision decision = claim_decision::run;
    time_point expires{};
};

/// The advance votes that a holder gave in one version of the roster.
struct granted_votes
{
    std::vector<instance_id> holders;
    /// Until when the keys of each coordinator are kept from all others.
    std::map<instance_id, time_point> until;
};

/// The records of one holder.
struct claim_records
{
    /// The most records kept at once.
    std::size_t bound = 65536;
    std::unordered_map<submission_key, claim_record, submission_key_hash> by_key;
    /// The same keys in the order in which they expire.
    std::set<std::pair<time_point, submission_key>> expiries;
    std::map<roster_version, granted_votes> granted;
    /// Until when records stand that another coordinator than the first holder, which is
    /// the key here, was granted.
    std::map<instance_id, time_point> held_for_others;
};

/// Returns the key that stands for all keys of a coordinator in the \p sequence-th
/// request for advance votes. No service has the id 0.
constexpr submission_key every_key(request_id sequence) noexcept
{
    return {.request = sequence};
}

/// Returns whether \p key came from every_key().
constexpr bool is_every_key(const submission_key& key) noexcept
{
    return key.service == service_id{};
}

/// Returns the record of \p key, or nothing.
const claim_record* find_record(const claim_records& records, const submission_key& key);

/// Records \p wanted unless a record of its key stands. Returns the record that stands
/// afterwards; nothing when there was none and the table is full or the key is kept for
/// another coordinator.
const claim_record* record_claim(claim_records& records, const roster_view& view,
                                 const claim& wanted, time_point now);

/// Drops the records and the advance votes that have expired by \p now.
void expire_records(claim_records& records, time_point now);

/// Answers the \p wanted claim of \p from with the record that stands, or with an invalid
/// reply when this instance may not hold.
void receive_claim(claim_records& records, const roster_view& view, instance_id from,
                   const claim& wanted, time_point now, action_list& actions);

} // namespace kumquatpath

#endif
