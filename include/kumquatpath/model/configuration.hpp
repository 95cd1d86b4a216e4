#ifndef KUMQUATPATH_MODEL_CONFIGURATION_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_HPP

/// \file
/// A whole configuration, as plain data: the objects that operators name and join by
/// reference, after every reference was resolved.
///
/// Only a configuration that passed the check is ever represented here, so a reader may
/// rely on every reference being valid and every limit being in range.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpath
{

/// Whether an object takes new work, or only finishes what it has.
enum class administrative_state : std::uint8_t
{
    active,
    draining,
};

/// A data centre, and the region it belongs to.
struct data_centre
{
    data_centre_id id;
    std::string name;
    std::string region;
    administrative_state state = administrative_state::active;
};

/// One back end instance. A target is draining also when its data centre is.
struct target
{
    target_id id;
    std::string name;
    endpoint address;
    data_centre_id data_centre;
    administrative_state state = administrative_state::active;
    /// Flows that the target takes at once, over all of its slots.
    std::uint32_t connections = 6000;
};

/// A set of targets that serve the same work.
struct target_pool
{
    std::string name;
    std::vector<target> targets;
};

/// A service: what a listener leads to and a pool of targets answers.
struct service
{
    service_id id;
    std::string name;
    /// Index into configuration::pools.
    std::uint32_t pool = 0;
    /// The longest time that a flow is expected to stay open; a target that takes no new
    /// flows may hold open ones for so long.
    std::chrono::seconds flow_lifetime{3600};
    /// The time within which an answer is of full use; 0 means none is told.
    std::chrono::milliseconds latency_goal{0};
    /// New requests a second that the service takes over the whole fleet; 0 means no
    /// limit.
    std::uint32_t requests_per_second = 0;
};

/// What a listener speaks to its callers.
enum class listener_kind : std::uint8_t
{
    datagram,
    stream,
};

/// An address that callers send to, and the service behind it.
struct listener
{
    std::string name;
    endpoint address;
    listener_kind kind = listener_kind::datagram;
    service_id service;
};

/// A customer that the callers belong to.
struct tenant
{
    tenant_id id;
    std::string name;
    /// New requests a second over the whole fleet; 0 means no limit.
    std::uint32_t requests_per_second = 0;
};

/// A class of work, such as look-ups or submissions.
struct traffic_class
{
    class_id id;
    std::string name;
    /// 0 is the most urgent. No decision depends on it.
    std::uint8_t priority = 0;
    /// Whether a request may run more than once without harm.
    bool repeatable = false;
    /// The time a request of the class has when its packet names none.
    std::chrono::milliseconds deadline{2000};
    /// New requests a second over the whole fleet; 0 means no limit.
    std::uint32_t requests_per_second = 0;
};

/// A whole configuration in one generation.
struct configuration
{
    kumquatpath::generation generation;
    /// Chosen by the client for each submission; it tells whether a lost answer took
    /// effect.
    std::string submission;
    std::vector<data_centre> data_centres;
    std::vector<target_pool> pools;
    std::vector<service> services;
    std::vector<listener> listeners;
    std::vector<tenant> tenants;
    std::vector<traffic_class> classes;
    /// Entry instances that operators are withdrawing, by name.
    std::vector<std::string> draining_instances;
};

} // namespace kumquatpath

#endif
