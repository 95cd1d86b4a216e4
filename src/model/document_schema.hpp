#ifndef KUMQUATPATH_MODEL_DOCUMENT_SCHEMA_HPP
#define KUMQUATPATH_MODEL_DOCUMENT_SCHEMA_HPP

/// \file
/// The keys of the configuration document and the ranges of its numbers.
/// docs/CONFIGURATION.md documents them for operators.

#include "model/object_reader.hpp"

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>

namespace kumquatpath::schema
{

inline constexpr std::uint64_t max_connections = 1'000'000;
inline constexpr std::uint64_t max_requests_per_second = 10'000'000;
inline constexpr std::uint64_t max_flow_lifetime_s = 604'800;
inline constexpr std::uint64_t max_latency_goal_ms = 600'000;
inline constexpr std::uint64_t max_warm_up_s = 3600;
inline constexpr std::uint64_t max_warm_up_requests_per_second = 1'000'000;
inline constexpr std::uint64_t max_deadline_ms = 600'000;
/// Priority 0 is the most urgent; a larger number is a lower priority.
inline constexpr std::uint64_t lowest_priority = std::numeric_limits<std::uint8_t>::max();
inline constexpr std::uint64_t max_id = std::numeric_limits<std::uint16_t>::max();
inline constexpr number_rule rate_rule = {.maximum = max_requests_per_second,
                                          .fallback = 0};
inline constexpr number_rule id_rule = {.minimum = 1, .maximum = max_id};

using key = std::string_view;
inline constexpr std::array document_keys = {
    key("format"),  key("edited_from"), key("data_centres"),
    key("pools"),   key("services"),    key("listeners"),
    key("tenants"), key("classes"),     key("instances")};
inline constexpr std::array data_centre_keys = {key("region"), key("state")};
inline constexpr std::array pool_keys = {key("targets")};
inline constexpr std::array target_keys = {key("address"), key("data_centre"),
                                           key("state"), key("connections")};
inline constexpr std::array service_keys = {key("pool"),
                                            key("flow_lifetime_s"),
                                            key("latency_goal_ms"),
                                            key("requests_per_second"),
                                            key("warm_up_s"),
                                            key("warm_up_requests_per_second")};
inline constexpr std::array listener_keys = {key("address"), key("kind"), key("service")};
inline constexpr std::array tenant_keys = {key("id"), key("requests_per_second")};
inline constexpr std::array class_keys = {key("id"), key("priority"), key("repeatable"),
                                          key("deadline_ms"), key("requests_per_second")};
inline constexpr std::array instance_keys = {key("state")};

} // namespace kumquatpath::schema

#endif
