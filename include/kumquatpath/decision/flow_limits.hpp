#ifndef KUMQUATPATH_DECISION_FLOW_LIMITS_HPP
#define KUMQUATPATH_DECISION_FLOW_LIMITS_HPP

/// \file
/// The configured limits on new flows per second of services, tenants and traffic
/// classes.
///
/// A limit holds for the whole fleet. Each instance admits an equal share of it, by the
/// number of live instances that it knows. A network partition or a silent peer therefore
/// makes the shares larger, never smaller.

#include <kumquatpath/decision/flow_steering.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

namespace kumquatpath
{

/// This instance's share of one limit, with one token for each flow.
struct token_bucket
{
    double tokens = 0;
    time_point refilled_at;
};

/// The buckets of the limits that were applied so far, by a hash of what they limit.
struct flow_limits
{
    boost::unordered_flat_map<std::uint64_t, token_bucket> buckets;
};

/// Returns whether any limit of \p table may apply to \p packet.
bool has_limit(const routing_table& table, const flow_packet& packet);

/// Returns whether every limit of \p table admits the flow that \p packet opens. An
/// admitted flow takes a token of each limit that applies, a refused one takes none. Each
/// limit is shared by \p instances instances.
bool admit_flow(flow_limits& limits, const routing_table& table,
                const flow_packet& packet, std::size_t instances, time_point now);

} // namespace kumquatpath

#endif
