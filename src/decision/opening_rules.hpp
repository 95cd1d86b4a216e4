#ifndef KUMQUATPATH_DECISION_OPENING_RULES_HPP
#define KUMQUATPATH_DECISION_OPENING_RULES_HPP

/// \file
/// The rules that the configuration sets for an opening.

#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// The rules that hold for an opening, from its route and class.
struct opening_rules
{
    service_id service;
    /// The warm-up policy of the service; null: none.
    const warm_up_policy* warm_up = nullptr;
    bool is_repeatable = false;
};

/// Returns the rules for the opening \p packet, which \p matched_route leads to one of
/// its services, drawn by \p random in proportion to their weights.
opening_rules rules_of(const routing_table& table, const route& matched_route,
                       const flow_packet& packet, std::uint64_t random);

} // namespace kumquatpath

#endif
