#ifndef KUMQUATPATH_DECISION_ADMISSION_HPP
#define KUMQUATPATH_DECISION_ADMISSION_HPP

/// \file
/// Admission control: whether an instance takes a new request, decided before any target
/// or peer hears of it.
///
/// A refused request has not run and will not. A request is taken when it is within the
/// configured limits of its tenant, class and service, and when either the learned limit
/// of its pool has room at its target, or its lane carries less than it is guaranteed.
/// Work beyond the guarantees is refused first, and of that the least urgent first; even
/// the most urgent flood leaves every other lane its guarantee. Two pools share nothing.
///
/// Costs: a refusal takes a few look-ups in sorted tables and allocates nothing. The
/// lanes are bounded by most_lanes; work of tenants or classes that the configuration
/// doesn't list, or that finds the table full, shares one lane of its service.

#include <kumquatpath/decision/admission_lane.hpp>
#include <kumquatpath/decision/concurrency_limit.hpp>
#include <kumquatpath/decision/fleet_usage.hpp>
#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/packet.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace kumquatpath
{

/// The most lanes of listed tenants and classes that one instance keeps.
inline constexpr std::size_t most_lanes = 1024;

/// The most usages that one heartbeat carries; further lanes take turns.
inline constexpr std::size_t most_usages_told = 12;

/// Identifies a pool by its name.
using pool_id = strong<struct pool_tag, std::uint32_t>;

/// A configured limit on the requests of one object, and this instance's part of it.
template <class Id>
struct rate_limit
{
    Id id;
    /// Requests a second over the whole fleet; 0 means no limit.
    std::uint32_t fleet_rate = 0;
    token_bucket bucket;
};

/// The pool of a service, and the limit of the service.
struct admission_service
{
    rate_limit<service_id> limit;
    pool_id pool;
};

/// What admission knows of a class.
struct admission_class
{
    rate_limit<class_id> limit;
    std::uint8_t priority = 0;
};

/// What admission knows of a pool.
struct admission_pool
{
    pool_id id;
    concurrency_limit capacity;
    /// The count of lanes that have work in flight at the pool.
    std::size_t busy_lanes = 0;
};

/// The state of admission control at one instance. Every table is in ascending order.
struct admission
{
    fleet_usage fleet;
    std::vector<admission_pool> pools;
    std::vector<admission_service> services;
    std::vector<rate_limit<tenant_id>> tenants;
    std::vector<admission_class> classes;
    std::vector<admission_lane> lanes;
};

/// What an admitted request occupies. The caller keeps it until the request ends.
struct admitted_work
{
    lane_key lane;
    pool_id pool;
    target_id target;
    room_kind kind = room_kind::guaranteed;
};

/// The answer of admit().
struct admission_result
{
    bool admitted = false;
    /// Why the request was refused: none, no_target, tenant_limit, class_limit,
    /// service_limit or overload.
    refusal_reason reason = refusal_reason::none;
    admitted_work work;
};

/// Takes over the limits and pools of \p whole. What was learned of objects that stay is
/// kept.
void configure(admission& state, const configuration& whole);

/// Decides on the request in \p header, an open or data packet, which would go to
/// \p target. A data packet, a request of an open flow, occupies its place but is never
/// refused: its flow was admitted when it was opened. Each admitted request must be ended
/// once by note_finished(), at the latest when its deadline passes.
admission_result admit(admission& state, const packet_header& header, target_id target,
                       time_point now);

/// Ends an admitted request. \p latency is the time since it was admitted.
void note_finished(admission& state, const admitted_work& work, request_end end,
                   duration latency, time_point now);

/// Takes over which instances are alive.
void note_members(admission& state, const member_view& view, time_point now);

/// Takes over the usages that one peer told in a heartbeat.
void note_peer_usages(admission& state, std::span<const usage> told, time_point now);

/// Returns the usages to tell in a heartbeat at \p now: of all lanes when they fit, else
/// of those whose turn it is.
std::vector<usage> usages(const admission& state, time_point now);

} // namespace kumquatpath

#endif
