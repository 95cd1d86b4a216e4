#include <kumquatpath/decision/placement.hpp>

#include <capacity/sample_fleet.hpp>

#include <algorithm>
#include <string>

namespace kumquatpath::bench
{
namespace
{

std::string numbered(const char* kind, std::size_t number)
{
    return kind + std::to_string(number);
}

target sample_target(const std::string& service, std::size_t index,
                     const configuration& whole)
{
    const std::string name = service + numbered("-host-", index);
    return {.id = id_of<target_id>(name),
            .name = name,
            .address = {.address = static_cast<std::uint32_t>(0x0a000000 + index),
                        .port = 9000},
            .data_centre = whole.data_centres[index % whole.data_centres.size()].id};
}

void add_service(configuration& whole, std::size_t index, std::size_t target_count)
{
    const std::string name = numbered("service-", index);
    target_pool pool{.name = name};
    for (std::size_t i = 0; i < target_count; ++i)
    {
        pool.targets.push_back(sample_target(name, i, whole));
    }
    whole.pools.push_back(std::move(pool));
    const service_id id = id_of<service_id>(name);
    whole.services.push_back(
        {.id = id, .name = name, .pool = static_cast<std::uint32_t>(index)});
    whole.listeners.push_back({.name = name, .service = id});
}

} // namespace

configuration sample_configuration(const sample_size& size)
{
    configuration whole{.generation = {1}};
    for (std::size_t i = 0; i < size.data_centres; ++i)
    {
        const std::string name = numbered("data-centre-", i);
        whole.data_centres.push_back(
            {.id = id_of<data_centre_id>(name), .name = name, .region = "region"});
    }
    for (std::size_t i = 0; i < size.services; ++i)
    {
        add_service(whole, i, size.targets_per_service);
    }
    whole.tenants.push_back({.id = {1}, .name = "tenant"});
    whole.classes.push_back({.id = {1}, .name = "class"});
    return whole;
}

configuration drain_data_centre(const configuration& whole, std::size_t index,
                                wall_time accepted)
{
    configuration next = whole;
    ++next.generation.value;
    next.data_centres[index].state = administrative_state::draining;
    for (service& each : next.services)
    {
        each.epochs.push_back({.retired_in = next.generation,
                               .retired_at = accepted,
                               .targets = active_targets(whole, whole.pools[each.pool])});
    }
    return next;
}

member_view sample_view(std::size_t count, std::size_t data_centres)
{
    member_view view;
    for (std::size_t i = 0; i < count; ++i)
    {
        view.members.push_back(
            {.instance = sample_instance(i),
             .data_centre = {static_cast<std::uint32_t>(i % data_centres) + 1}});
    }
    std::ranges::sort(view.members, {}, &member::instance);
    view.self = sample_instance(0);
    return view;
}

instance_id sample_instance(std::size_t index)
{
    return id_of<instance_id>(numbered("entry-", index));
}

} // namespace kumquatpath::bench
