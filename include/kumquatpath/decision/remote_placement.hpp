#ifndef KUMQUATPATH_DECISION_REMOTE_PLACEMENT_HPP
#define KUMQUATPATH_DECISION_REMOTE_PLACEMENT_HPP

/// \file
/// Decides which new flows of a service go to targets of other data centres, by measured
/// times: what a flow takes there, distance included, against what it takes at local
/// targets.
///
/// While local flows take so much longer that callers notice it, the instance limits its
/// flows in flight to local targets. A limit of flows in flight lets as many flows start
/// as end, so local waits neither grow nor swing while measurements arrive late. Flows
/// beyond the limit go to another data centre with a probability, its share, that changes
/// gradually, because instances that measure the same must not all send there at once.
/// Each instance decides alone, with what its own flows took.
///
/// The state is lost with the instance, which then starts with local placement. See
/// docs/design/spill.md.

#include <kumquatpath/decision/opening_times.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace kumquatpath
{

/// Why a new flow was placed on a target of another data centre.
enum class remote_reason : std::uint8_t
{
    /// No local target takes the flow, or each is to be avoided more than the remote one.
    no_local_target,
    /// Flows there take less time, distance included.
    shorter_time,
    /// It is a trial flow.
    trial,
};

/// The number of enumerators of remote_reason.
inline constexpr std::size_t remote_reason_count = 3;

/// What one service's answers from the targets of one data centre show, and how many of
/// its flows go there.
struct data_centre_answers
{
    /// Smoothed natural logarithm of the time that requests take, in milliseconds,
    /// without the round trip.
    double ln_ms = 0;
    std::uint32_t answers = 0;
    time_point answered_at;
    /// The mean of the same logarithm over requests sent since the last change of the
    /// local limit, and their number.
    double new_ln_ms = 0;
    std::uint32_t new_answers = 0;
    std::uint32_t in_flight = 0;
    /// Of the flows beyond the local limit whose best remote target is in this data
    /// centre, the share that goes there; 0 for the local one.
    double share = 0;
};

/// The placement of the flows of one service.
struct service_placement
{
    boost::unordered_flat_map<data_centre_id, data_centre_answers,
                              std::hash<data_centre_id>>
        data_centres;
    /// The logarithm of the time that requests take without a wait, in milliseconds, as
    /// far as known; unset: not known.
    std::optional<double> ln_idle_ms;
    /// 0: none is known.
    duration latency_goal{0};
    /// The local flows that may be in flight; the fraction is a probability. Unset: there
    /// is no limit.
    std::optional<double> local_limit;
    /// A flow was beyond the limit since that last changed.
    bool was_limit_reached = false;
    /// When the limit last had to stay or change because it was reached.
    time_point limit_reached_at;
    /// When the limit's last change has taken effect.
    time_point limit_effective_at;
    time_point updated_at;
};

/// The state of one instance.
struct remote_placement
{
    boost::unordered_flat_map<service_id, service_placement, std::hash<service_id>>
        services;
    /// Times from an opening to the caller's next packet; an opening carries no work, so
    /// they show the distance.
    boost::unordered_flat_map<data_centre_id, opening_times, std::hash<data_centre_id>>
        openings;
    /// By remote_reason: the new flows placed remotely.
    std::array<std::uint64_t, remote_reason_count> flows{};
    /// Why the newest choice of a target was remote; unset: it was local.
    std::optional<remote_reason> reason;
};

/// A new flow of an instance in the data centre \c local whose best remote target is in
/// \c remote.
struct flow_to_place
{
    service_id service;
    data_centre_id local;
    data_centre_id remote;
    /// The requests that the targets' slots bear, as this instance's share.
    double bearable_in_flight = 1;
    /// Uniformly distributed random bits.
    std::uint64_t random = 0;
};

/// An answered request.
struct answered_request
{
    service_id service;
    /// That of the target.
    data_centre_id data_centre;
    /// From the request to the caller's next packet.
    duration time{0};
    /// 0: there is none.
    duration latency_goal{0};
};

// Queries.

/// Returns whether \p flow should go to its best remote target.
bool is_remote_better(const remote_placement& placement, const flow_to_place& flow);

/// Returns the name of \p reason for metrics and logs.
std::string_view to_string(remote_reason reason) noexcept;

// Commands.

/// Records that the caller's next packet came \p time after an opening that a target of
/// \p id answered.
void record_opening_time(remote_placement& placement, data_centre_id id, duration time);

/// Records \p request. An answer that came too quickly to be real does not count.
void record_answered_request(remote_placement& placement, const answered_request& request,
                             time_point now);

/// Adds \p change to the requests of \p service that targets of \p id have in flight.
void change_in_flight(remote_placement& placement, service_id service, data_centre_id id,
                      int change);

/// Adjusts the limit and the shares that \p flow depends on, if that is due.
void update_placement(remote_placement& placement, const flow_to_place& flow,
                      time_point now);

} // namespace kumquatpath

#endif
