#ifndef KUMQUATPATH_DECISION_ROSTER_LEADER_HPP
#define KUMQUATPATH_DECISION_ROSTER_LEADER_HPP

/// \file
/// The duty of keeping the roster in the platform's store: who leads, reads and writes.
///
/// The leader writes a next version when one is due, and writes a version again without
/// its old holders once they no longer count, so that an instance that starts later need
/// not wait for holders that are long gone.
///
/// Guarantee: each version that the store accepts follows the one that its writer had
/// read, whoever believes to lead. The lease only keeps two instances from working
/// against each other. A write whose answer is lost is read back, never repeated blindly.
///
/// Failure: while the store is away the roster stays as it is; nothing is decided anew.
/// Load: an instance reads when it starts, when it hears of a newer version, and once in
/// a long while; two candidates and no others ask for the lease.

#include <kumquatpath/decision/lease.hpp>
#include <kumquatpath/decision/roster_change.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace kumquatpath
{

/// Numbers the values that the store has held under one key; 0 means that it held none.
using store_revision = strong<struct store_revision_tag, std::uint64_t>;

/// Asks the store to grant the leader's lease to a token, or to renew it.
struct acquire_lease
{
    store_request request;
    lease_token token;
    duration time_to_live{};
};

/// Asks the store for the roster.
struct read_roster
{
    store_request request;
};

/// Asks the store to write the roster if its revision is still the expected one.
struct write_roster
{
    store_request request;
    roster value;
    store_revision expected;
};

/// Anything that the leadership asks the store for.
using store_command = std::variant<acquire_lease, read_roster, write_roster>;

/// The commands of one event, in order.
using store_command_list = std::vector<store_command>;

/// The store's answer to acquire_lease.
struct lease_answer
{
    store_request request;
    bool is_granted = false;
};

/// The store's answer to read_roster and write_roster.
struct roster_answer
{
    store_request request;
    /// False when a write was refused because the revision had moved on.
    bool is_accepted = true;
    /// What the store holds now; the written value after an accepted write.
    roster value;
    store_revision revision;
};

/// The times of the duty.
struct roster_leader_options
{
    lease_options lease;
    roster_change_options change;
    /// The time after which an answer is taken to be lost.
    duration answer_timeout = std::chrono::seconds{2};
    /// The time between two reads without a cause.
    duration refresh = std::chrono::seconds{60};
    /// The shortest time between two reads, also with a cause.
    duration read_interval = std::chrono::milliseconds{500};
};

/// What one instance knows of the duty.
struct roster_leader
{
    roster_leader_options options;
    kumquatpath::lease lease;
    store_request last_request;
    /// The read or write whose answer is awaited.
    std::optional<store_request> awaited;
    time_point awaited_since{};
    /// The store's value and its revision; no revision when a read is needed first.
    roster stored;
    std::optional<store_revision> revision;
    time_point next_read{};
    /// The newest version that any peer announced.
    roster_version newest_heard;
};

/// Returns the duty of an instance that starts; \p token is unique to its incarnation.
roster_leader start_roster_leader(const roster_leader_options& options,
                                  lease_token token);

/// Notes a version that a peer announced; a newer one than the view's makes it read.
void hear_of_roster(roster_leader& leader, roster_version version);

/// Does what is due: asks for the lease, reads, and as the leader writes a next version.
void tick_roster_leader(roster_leader& leader, const roster_view& view,
                        const member_view& members, time_point now,
                        store_command_list& commands);

/// Takes the store's answer about the lease.
void receive_lease_answer(roster_leader& leader, const lease_answer& answer);

/// Takes the store's answer about the roster, and brings a newer version into force.
void receive_roster_answer(roster_leader& leader, roster_view& view,
                           const roster_answer& answer, time_point now);

} // namespace kumquatpath

#endif
