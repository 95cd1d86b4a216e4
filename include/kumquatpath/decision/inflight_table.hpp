#ifndef KUMQUATPATH_DECISION_INFLIGHT_TABLE_HPP
#define KUMQUATPATH_DECISION_INFLIGHT_TABLE_HPP

/// \file
/// The requests that this instance sent to targets and that are not answered yet.
///
/// The table never allocates after it is made. When it is full, a further request is not
/// remembered: it is still served, but its answer is not measured. A request whose
/// deadline passes is taken out as timed out.

#include <kumquatpath/decision/admission.hpp>
#include <kumquatpath/model/packet.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatpath
{

/// One request on its way.
struct inflight_request
{
    flow_id flow;
    request_id request;
    time_point sent_at{};
    time_point expires_at{};
    service_id service;
    tenant_id tenant;
    class_id traffic_class;
    /// What the request occupies at admission control until it ends.
    admitted_work work;
    /// Fragments of the answer that are still to come; 0 until the first one told.
    std::uint32_t fragments_left = 0;
    bool is_used = false;
};

/// Open addressing with linear probing over a power of two of places.
struct inflight_table
{
    std::vector<inflight_request> places;
    std::size_t used = 0;
    /// The place from which expire_inflight() goes on.
    std::size_t sweep = 0;
    /// Requests that were not remembered since the table was full.
    std::uint64_t refused = 0;
};

/// Returns a table for up to \p most requests.
inflight_table make_inflight_table(std::size_t most);

/// Remembers \p request. Returns false if it is known already or the table is full.
bool remember_inflight(inflight_table& table, const inflight_request& request);

/// Returns the request that is known under \p flow and \p request, or null.
inflight_request* find_inflight(inflight_table& table, flow_id flow, request_id request);

/// Takes the request out and returns it, if it is known.
std::optional<inflight_request> take_inflight(inflight_table& table, flow_id flow,
                                              request_id request);

/// Looks at the next \p steps places and appends the requests that expired, which it
/// takes out, to \p expired.
void expire_inflight(inflight_table& table, time_point now, std::size_t steps,
                     std::vector<inflight_request>& expired);

} // namespace kumquatpath

#endif
