#ifndef KUMQUATPATH_DECISION_FLOW_LIMITS_HPP
#define KUMQUATPATH_DECISION_FLOW_LIMITS_HPP

/// \file
/// The operators' limits on new flows a second, of services, tenants and classes.
///
/// A limit holds for the whole fleet; each instance admits its share of it, by the
/// instances that it hears. So a cut or a silent peer makes shares larger, never smaller.

#include <kumquatpath/decision/flow_steering.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

namespace kumquatpath
{

/// What is left of one limit's share.
struct token_bucket
{
    double tokens = 0;
    time_point refilled_at;
};

/// The buckets of all limits that were met, by what they limit.
struct flow_limits
{
    boost::unordered_flat_map<std::uint64_t, token_bucket> buckets;
};

/// Returns whether any limit of \p table may hold for \p packet.
bool has_limit(const routing_table& table, const flow_packet& packet);

/// Returns whether the flow that \p packet opens is within every limit of \p table, and
/// takes it off them if it is. \p instances share each limit.
bool admit_flow(flow_limits& limits, const routing_table& table,
                const flow_packet& packet, std::size_t instances, time_point now);

} // namespace kumquatpath

#endif
