#ifndef KUMQUATPATH_MODEL_CONFIGURATION_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_HPP

/// \file
/// A complete configuration as plain data: the objects that operators name, with all
/// references between them resolved.
///
/// Only a configuration that passed the check is represented here, so every reference is
/// valid and every limit is in range.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Whether an object accepts new flows or only finishes those that it already has.
enum class administrative_state : std::uint8_t
{
    active,
    draining,
};

/// A data centre and the region that it belongs to.
struct data_centre
{
    data_centre_id id;
    std::string name;
    std::string region;
    administrative_state state = administrative_state::active;
};

/// One back end instance. A target also counts as draining while its data centre is
/// draining, whatever its own state.
struct target
{
    target_id id;
    std::string name;
    endpoint address;
    data_centre_id data_centre;
    administrative_state state = administrative_state::active;
    /// The maximum number of concurrent flows, over all slots of the target.
    std::uint32_t connections = 6000;
    /// When the target is fully warm after it began to take new flows. The epoch unless
    /// the stored configuration says that the target warms up.
    wall_time warm_up_until;
};

/// The number of concurrent connections of a target that count as one slot, which is one
/// request processed at a time.
inline constexpr std::uint32_t connections_per_slot = 2000;

/// Returns the number of requests that \p each processes at a time; at least 1.
constexpr std::uint32_t slots_of(const target& each) noexcept
{
    return std::max(1U, each.connections / connections_per_slot);
}

/// A set of targets that serve the same service. Of several services that name one pool,
/// only the first gets its targets.
struct target_pool
{
    std::string name;
    std::vector<target> targets;
};

/// A service: listeners direct callers to it, and the targets of its pool answer them.
struct service
{
    service_id id;
    std::string name;
    /// Index into configuration::pools.
    std::uint32_t pool = 0;
    /// The longest time that a flow is expected to stay open. A target that accepts no
    /// new flows may hold open flows for this long.
    std::chrono::seconds flow_lifetime{3600};
    /// The time within which an answer has its full value to the caller; 0 means that no
    /// goal is set.
    std::chrono::milliseconds latency_goal{0};
    /// Limit on new flows per second to the service, over the whole fleet; 0 means no
    /// limit. Named after the key of the document.
    std::uint32_t requests_per_second = 0;
    /// How long a target of the service warms up after it began to take new flows; 0
    /// means not at all.
    std::chrono::seconds warm_up{0};
    /// Limit on the new flows per second that one target gets from the whole fleet while
    /// it warms up; 0 means no limit. Named after the key of the document.
    std::uint32_t warm_up_requests_per_second = 0;
};

/// The kind of transport between a listener and its callers.
enum class listener_kind : std::uint8_t
{
    datagram,
    stream,
};

/// An address that callers send to, and the service that it leads to.
struct listener
{
    std::string name;
    endpoint address;
    listener_kind kind = listener_kind::datagram;
    service_id service;
};

/// A customer that callers belong to.
struct tenant
{
    tenant_id id;
    std::string name;
    /// Limit on new flows per second over the whole fleet; 0 means no limit. Named after
    /// the key of the document.
    std::uint32_t requests_per_second = 0;
};

/// A class of requests, such as look-ups or submissions.
struct traffic_class
{
    class_id id;
    std::string name;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    /// Whether requests are idempotent, so that one may run more than once without harm.
    bool repeatable = false;
    /// The time limit of a request whose packet does not specify one.
    std::chrono::milliseconds deadline{2000};
    /// Limit on new flows per second over the whole fleet; 0 means no limit. Named after
    /// the key of the document.
    std::uint32_t requests_per_second = 0;
};

/// One generation of the complete configuration.
struct configuration
{
    kumquatpath::generation generation;
    /// An identifier that the client chooses for each submission. If the response to a
    /// write is lost, the stored identifier shows whether the write took effect.
    std::string submission;
    std::vector<data_centre> data_centres;
    std::vector<target_pool> pools;
    std::vector<service> services;
    std::vector<listener> listeners;
    std::vector<tenant> tenants;
    std::vector<traffic_class> classes;
    /// Names of the entry instances that operators are taking out of service.
    std::vector<std::string> draining_instances;
    /// Names of the entry instances that the document lists although they are active; the
    /// entries have no effect.
    std::vector<std::string> listed_active_instances;
};

} // namespace kumquatpath

#endif
