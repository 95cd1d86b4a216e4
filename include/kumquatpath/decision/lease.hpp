#ifndef KUMQUATPATH_DECISION_LEASE_HPP
#define KUMQUATPATH_DECISION_LEASE_HPP

/// \file
/// A lease in the platform's store, as its holder sees it.
///
/// Guarantee: is_held() is false from before the store may grant the lease to another,
/// even if answers were late: the holder counts from before it asked. A holder that was
/// paused and acts on an earlier is_held() is stopped by fencing: everything that it
/// writes names the revision that it read, and the store refuses it if that moved on.

#include <kumquatpath/model/strong.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <optional>

namespace kumquatpath
{

/// Tells one claimant of a lease from all others, and from its own earlier incarnations.
using lease_token = strong<struct lease_token_tag, std::uint64_t>;

/// Numbers the requests of one instance to the store, so that a late answer is told
/// apart.
using store_request = strong<struct store_request_tag, std::uint64_t>;

/// The times of a lease.
struct lease_options
{
    /// How long the store keeps the lease after it granted or renewed it.
    duration time_to_live = std::chrono::seconds{10};
    /// The time between two renewals, and between two attempts to acquire it.
    duration interval = std::chrono::seconds{3};
    /// The holder stops this long before the store may grant the lease to another.
    duration guard = std::chrono::seconds{1};
};

/// What a claimant knows of its lease.
struct lease
{
    lease_options options;
    lease_token token;
    /// The latest request, while its answer may still count.
    std::optional<store_request> asked;
    time_point asked_at{};
    time_point held_until{};
    time_point next_ask{};
};

/// Returns whether the lease is held for certain at \p now.
bool is_held(const lease& which, time_point now);

/// Returns whether it is time to ask the store to grant or to renew the lease.
bool is_ask_due(const lease& which, time_point now);

/// Notes that \p request asks the store for the lease. To be called before it is sent.
void ask_lease(lease& which, store_request request, time_point now);

/// Takes the answer to \p request; only that of the latest request counts.
void receive_lease_answer(lease& which, store_request request, bool is_granted);

} // namespace kumquatpath

#endif
