#include "model/document_reader.hpp"

#include "model/document_schema.hpp"
#include "model/edit_distance.hpp"
#include "model/json_pointer.hpp"

#include <kumquatpath/model/configuration_check.hpp>
#include <kumquatpath/model/configuration_query.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
using fault_kind = configuration_fault_kind;
using namespace schema;

/// The pool index of a service that refers to an unknown pool.
constexpr std::uint32_t no_pool = std::numeric_limits<std::uint32_t>::max();

/// Unknown references get no suggestion once this many faults were found. The limit
/// bounds the time to read a document in which almost every reference is wrong.
constexpr std::size_t suggestion_fault_limit = 200;

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text,
                               [](char each)
                               {
                                   return (each >= 'a' && each <= 'z') ||
                                          (each >= 'A' && each <= 'Z') ||
                                          (each >= '0' && each <= '9') || each == '.' ||
                                          each == '_' || each == '-';
                               });
}

std::vector<std::string_view> sorted_keys(const json::object* section)
{
    std::vector<std::string_view> names;
    if (section == nullptr)
    {
        return names;
    }
    for (const auto& member : *section)
    {
        names.emplace_back(member.key().data(), member.key().size());
    }
    std::ranges::sort(names);
    return names;
}

} // namespace

document_reader::document_reader(const json::value& document, std::string_view pointer,
                                 fault_list& faults)
    : root_(document, std::string(pointer), document_keys, faults), faults_(&faults)
{
}

configuration document_reader::read()
{
    root_.number("format", {.minimum = document_format_version,
                            .maximum = document_format_version});
    root_.number("edited_from",
                 {.maximum = std::numeric_limits<std::int64_t>::max(), .fallback = 0});
    read_data_centres();
    read_pools();
    read_services();
    read_listeners();
    read_tenants();
    read_classes();
    read_instances();
    check_services();
    return std::move(configuration_);
}

template <class Function>
void document_reader::for_each_entry(const json::object* section,
                                     const std::string& pointer, const Function& function)
{
    if (section == nullptr)
    {
        return;
    }
    for (const auto& member : *section)
    {
        const std::string_view name(member.key().data(), member.key().size());
        const std::string entry_pointer = child_pointer(pointer, name);
        if (!is_valid_name(name))
        {
            faults_->push_back({.kind = fault_kind::malformed_name,
                                .pointer = entry_pointer,
                                .name = std::string(name),
                                .maximum = max_name_length});
        }
        function(name, member.value(), entry_pointer);
    }
}

bool document_reader::check_reference(object_reader& reader, std::string_view key,
                                      const std::string& name, const sorted_names& known)
{
    if (std::ranges::binary_search(known, std::string_view(name)))
    {
        return true;
    }
    const json::value* const value = reader.find(key);
    if (value != nullptr && value->is_string())
    {
        const bool may_suggest = faults_->size() < suggestion_fault_limit;
        faults_->push_back(
            {.kind = fault_kind::unknown_reference,
             .pointer = reader.pointer_of(key),
             .name = name,
             .expected = std::string(may_suggest ? nearest_name(name, known)
                                                 : std::string_view())});
    }
    return false;
}

void document_reader::check_unique_address(const endpoint& address,
                                           const std::string& pointer)
{
    if (address == endpoint{})
    {
        return;
    }
    const auto [existing, is_new] = address_pointers_.try_emplace(address, pointer);
    if (!is_new)
    {
        faults_->push_back({.kind = fault_kind::duplicate_address,
                            .pointer = child_pointer(pointer, "address"),
                            .name = to_string(address),
                            .expected = existing->second});
    }
}

template <class Id>
void document_reader::check_unique_derived_id(std::map<Id, std::string>& used, Id id,
                                              std::string_view name,
                                              const std::string& pointer)
{
    const auto [existing, is_new] = used.try_emplace(id, name);
    if (!is_new && existing->second != name)
    {
        faults_->push_back({.kind = fault_kind::name_collision,
                            .pointer = pointer,
                            .name = std::string(name),
                            .expected = existing->second});
    }
}

void document_reader::check_unique_id(std::map<std::uint64_t, std::string>& used,
                                      std::uint64_t number, std::string_view name,
                                      const std::string& pointer)
{
    const auto [existing, is_new] = used.try_emplace(number, name);
    if (!is_new)
    {
        faults_->push_back({.kind = fault_kind::duplicate_id,
                            .pointer = child_pointer(pointer, "id"),
                            .name = std::to_string(number),
                            .expected = '"' + existing->second + '"'});
    }
}

void document_reader::read_data_centres()
{
    const json::object* const section = root_.object("data_centres", true);
    data_centre_names_ = sorted_keys(section);
    for_each_entry(section, root_.pointer_of("data_centres"),
                   [this](std::string_view name, const json::value& value,
                          const std::string& pointer)
                   {
                       object_reader object(value, pointer, data_centre_keys, *faults_);
                       const auto id = id_of<data_centre_id>(name);
                       check_unique_derived_id(data_centre_ids_, id, name, pointer);
                       configuration_.data_centres.push_back(
                           {.id = id,
                            .name = std::string(name),
                            .region = object.required_string("region"),
                            .state = object.state()});
                   });
}

void document_reader::read_pools()
{
    const json::object* const section = root_.object("pools", true);
    pool_names_ = sorted_keys(section);
    for_each_entry(section, root_.pointer_of("pools"),
                   [this](std::string_view name, const json::value& value,
                          const std::string& pointer)
                   { read_pool(name, value, pointer); });
}

void document_reader::read_pool(std::string_view name, const json::value& value,
                                const std::string& pointer)
{
    object_reader object(value, pointer, pool_keys, *faults_);
    const json::object* const targets = object.object("targets", true);
    target_pool pool{.name = std::string(name)};
    if (targets != nullptr && targets->empty())
    {
        faults_->push_back({.kind = fault_kind::empty_pool,
                            .pointer = object.pointer_of("targets"),
                            .name = pool.name});
    }
    for_each_entry(targets, object.pointer_of("targets"),
                   [&](std::string_view target_name, const json::value& target_value,
                       const std::string& target_pointer)
                   { read_target(pool, target_name, target_value, target_pointer); });
    configuration_.pools.push_back(std::move(pool));
}

void document_reader::read_target(target_pool& pool, std::string_view name,
                                  const json::value& value, const std::string& pointer)
{
    object_reader object(value, pointer, target_keys, *faults_);
    target entry{.id = id_of<target_id>(name), .name = std::string(name)};
    entry.address = object.required_address("address");
    check_unique_address(entry.address, pointer);
    const std::string data_centre = object.required_string("data_centre");
    if (check_reference(object, "data_centre", data_centre, data_centre_names_))
    {
        entry.data_centre = id_of<data_centre_id>(data_centre);
    }
    entry.state = object.state();
    entry.connections = static_cast<std::uint32_t>(object.number(
        "connections",
        {.minimum = 1, .maximum = max_connections, .fallback = target{}.connections}));
    const auto [existing, is_new] = target_pointers_.try_emplace(entry.name, pointer);
    if (!is_new)
    {
        faults_->push_back({.kind = fault_kind::duplicate_name,
                            .pointer = pointer,
                            .name = entry.name,
                            .expected = existing->second});
    }
    check_unique_derived_id(target_ids_, entry.id, name, pointer);
    pool.targets.push_back(std::move(entry));
}

void document_reader::read_services()
{
    const json::object* const section = root_.object("services", true);
    service_names_ = sorted_keys(section);
    const auto read = [this](std::string_view name, const json::value& value,
                             const std::string& pointer)
    {
        object_reader object(value, pointer, service_keys, *faults_);
        service entry{.id = id_of<service_id>(name), .name = std::string(name)};
        check_unique_derived_id(service_ids_, entry.id, name, pointer);
        const std::string pool = object.required_string("pool");
        entry.pool = no_pool;
        if (check_reference(object, "pool", pool, pool_names_))
        {
            const auto found =
                std::ranges::find(configuration_.pools, pool, &target_pool::name);
            entry.pool = static_cast<std::uint32_t>(found - configuration_.pools.begin());
        }
        const std::uint64_t fallback =
            static_cast<std::uint64_t>(service{}.flow_lifetime.count());
        entry.flow_lifetime = std::chrono::seconds(object.number(
            "flow_lifetime_s",
            {.minimum = 1, .maximum = max_flow_lifetime_s, .fallback = fallback}));
        entry.latency_goal = std::chrono::milliseconds(object.number(
            "latency_goal_ms", {.maximum = max_latency_goal_ms, .fallback = 0}));
        entry.requests_per_second =
            static_cast<std::uint32_t>(object.number("requests_per_second", rate_rule));
        entry.warm_up = std::chrono::seconds(
            object.number("warm_up_s", {.maximum = max_warm_up_s, .fallback = 0}));
        entry.warm_up_requests_per_second = static_cast<std::uint32_t>(
            object.number("warm_up_requests_per_second",
                          {.maximum = max_warm_up_requests_per_second, .fallback = 0}));
        configuration_.services.push_back(std::move(entry));
    };
    for_each_entry(section, root_.pointer_of("services"), read);
}

void document_reader::read_listeners()
{
    const auto read = [this](std::string_view name, const json::value& value,
                             const std::string& pointer)
    {
        object_reader object(value, pointer, listener_keys, *faults_);
        listener entry{.name = std::string(name)};
        entry.address = object.required_address("address");
        check_unique_address(entry.address, pointer);
        entry.kind = object.kind();
        const std::string service = object.required_string("service");
        if (check_reference(object, "service", service, service_names_))
        {
            entry.service = id_of<service_id>(service);
        }
        configuration_.listeners.push_back(std::move(entry));
    };
    for_each_entry(root_.object("listeners", true), root_.pointer_of("listeners"), read);
}

void document_reader::read_tenants()
{
    std::map<std::uint64_t, std::string> used;
    const auto read =
        [&](std::string_view name, const json::value& value, const std::string& pointer)
    {
        object_reader object(value, pointer, tenant_keys, *faults_);
        const std::uint64_t id = object.number("id", id_rule);
        if (object.find("id") != nullptr)
        {
            check_unique_id(used, id, name, pointer);
        }
        configuration_.tenants.push_back(
            {.id = {static_cast<std::uint16_t>(id)},
             .name = std::string(name),
             .requests_per_second = static_cast<std::uint32_t>(
                 object.number("requests_per_second", rate_rule))});
    };
    for_each_entry(root_.object("tenants", true), root_.pointer_of("tenants"), read);
}

void document_reader::read_classes()
{
    std::map<std::uint64_t, std::string> used;
    const auto read =
        [&](std::string_view name, const json::value& value, const std::string& pointer)
    {
        object_reader object(value, pointer, class_keys, *faults_);
        const std::uint64_t id = object.number("id", id_rule);
        if (object.find("id") != nullptr)
        {
            check_unique_id(used, id, name, pointer);
        }
        const auto fallback =
            static_cast<std::uint64_t>(traffic_class{}.deadline.count());
        traffic_class entry{.id = {static_cast<std::uint16_t>(id)},
                            .name = std::string(name)};
        entry.priority = static_cast<std::uint8_t>(
            object.number("priority", {.maximum = lowest_priority, .fallback = 0}));
        entry.repeatable = object.flag("repeatable", false);
        entry.deadline = std::chrono::milliseconds(object.number(
            "deadline_ms",
            {.minimum = 1, .maximum = max_deadline_ms, .fallback = fallback}));
        entry.requests_per_second =
            static_cast<std::uint32_t>(object.number("requests_per_second", rate_rule));
        configuration_.classes.push_back(std::move(entry));
    };
    for_each_entry(root_.object("classes", true), root_.pointer_of("classes"), read);
}

void document_reader::read_instances()
{
    const auto read = [this](std::string_view name, const json::value& value,
                             const std::string& pointer)
    {
        object_reader object(value, pointer, instance_keys, *faults_);
        const bool is_draining = object.state() == administrative_state::draining;
        (is_draining ? configuration_.draining_instances
                     : configuration_.listed_active_instances)
            .emplace_back(name);
    };
    for_each_entry(root_.object("instances", false), root_.pointer_of("instances"), read);
}

void document_reader::check_services()
{
    for (const service& each : configuration_.services)
    {
        // An unknown or empty pool has been reported already.
        if (each.pool == no_pool || configuration_.pools[each.pool].targets.empty())
        {
            continue;
        }
        const target_pool& pool = configuration_.pools[each.pool];
        if (active_target_names(configuration_, pool).empty())
        {
            faults_->push_back(
                {.kind = fault_kind::no_active_target,
                 .pointer = child_pointer(root_.pointer_of("services"), each.name),
                 .name = each.name,
                 .expected = pool.name});
        }
    }
}

} // namespace kumquatpath
