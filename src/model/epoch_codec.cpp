#include "model/epoch_codec.hpp"

#include "model/json_pointer.hpp"
#include "model/object_reader.hpp"

#include <kumquatpath/model/configuration_query.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
using fault_kind = configuration_fault_kind;
using key = std::string_view;
using name_list = std::vector<std::string>;

/// "also" holds the targets that the next placement no longer has, "without" those that
/// it has in addition.
constexpr std::array epoch_keys = {key("retired_in"), key("retired_at_ms"), key("also"),
                                   key("without")};
constexpr std::uint64_t largest_number = std::numeric_limits<std::int64_t>::max();

/// Returns the names that only \p first has.
name_list difference(const name_list& first, const name_list& second)
{
    name_list only;
    std::ranges::set_difference(first, second, std::back_inserter(only));
    return only;
}

json::array to_json(const name_list& names)
{
    json::array list;
    list.reserve(names.size());
    for (const std::string& each : names)
    {
        list.emplace_back(each);
    }
    return list;
}

json::object write_epoch(const epoch_record& epoch, const name_list& following)
{
    json::object written = {
        {"retired_in", epoch.retired_in.value},
        {"retired_at_ms", epoch.retired_at.time_since_epoch().count()}};
    const name_list also = difference(epoch.targets, following);
    const name_list without = difference(following, epoch.targets);
    if (!also.empty())
    {
        written["also"] = to_json(also);
    }
    if (!without.empty())
    {
        written["without"] = to_json(without);
    }
    return written;
}

name_list active_targets_of(const active_sets& active, std::string_view service)
{
    const auto found = active.find(service);
    return found == active.end() ? name_list() : found->second;
}

/// Returns the array \p value, or null and a fault.
const json::array* as_array(const json::value& value, const std::string& pointer,
                            fault_list& faults)
{
    const json::array* const list = value.if_array();
    if (list == nullptr)
    {
        faults.push_back({.kind = fault_kind::wrong_type,
                          .pointer = pointer,
                          .name = std::string(type_name(value)),
                          .expected = "an array"});
    }
    return list;
}

/// Returns the names at \p member in ascending order; none when it is absent.
name_list names_at(const object_reader& epoch, std::string_view member,
                   fault_list& faults)
{
    name_list names;
    const json::value* const value = epoch.find(member);
    const json::array* const list =
        value == nullptr ? nullptr : as_array(*value, epoch.pointer_of(member), faults);
    if (list == nullptr)
    {
        return names;
    }
    for (const json::value& each : *list)
    {
        if (const json::string* const name = each.if_string())
        {
            names.emplace_back(name->data(), name->size());
        }
    }
    std::ranges::sort(names);
    return names;
}

epoch_record read_epoch(const json::value& value, const std::string& pointer,
                        const name_list& following, fault_list& faults)
{
    object_reader object(value, pointer, epoch_keys, faults);
    epoch_record epoch;
    epoch.retired_in = {object.number("retired_in", {.most = largest_number})};
    epoch.retired_at =
        wall_time_of(object.number("retired_at_ms", {.most = latest_wall_time_ms}));
    const name_list kept = difference(following, names_at(object, "without", faults));
    std::ranges::set_union(kept, names_at(object, "also", faults),
                           std::back_inserter(epoch.targets));
    return epoch;
}

/// Reads the placements of one service from the newest, which the active targets lead to,
/// to the oldest.
std::vector<epoch_record> read_service(const json::array& list,
                                       const std::string& pointer, name_list following,
                                       fault_list& faults)
{
    std::vector<epoch_record> epochs(list.size());
    for (std::size_t i = list.size(); i-- > 0;)
    {
        epochs[i] = read_epoch(list[i], child_pointer(pointer, std::to_string(i)),
                               following, faults);
        following = epochs[i].targets;
    }
    return epochs;
}

} // namespace

wall_time wall_time_of(std::uint64_t milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

active_sets active_sets_of(const configuration& whole)
{
    active_sets sets;
    for (const service& each : whole.services)
    {
        sets[each.name] = active_target_names(whole, whole.pools[each.pool]);
    }
    return sets;
}

json::object write_epochs(const epoch_records& records, const active_sets& active)
{
    json::object written;
    for (const auto& [service, epochs] : records)
    {
        json::array list;
        list.reserve(epochs.size());
        for (std::size_t i = 0; i < epochs.size(); ++i)
        {
            const name_list following = i + 1 < epochs.size()
                                            ? epochs[i + 1].targets
                                            : active_targets_of(active, service);
            list.emplace_back(write_epoch(epochs[i], following));
        }
        written[service] = std::move(list);
    }
    return written;
}

epoch_records read_epochs(const json::object& section, std::string_view pointer,
                          const active_sets& active, fault_list& faults)
{
    epoch_records records;
    for (const auto& member : section)
    {
        const std::string service(member.key().data(), member.key().size());
        const std::string place = child_pointer(pointer, service);
        const json::array* const list = as_array(member.value(), place, faults);
        if (list == nullptr)
        {
            continue;
        }
        if (list->size() > most_placement_epochs)
        {
            faults.push_back({.kind = fault_kind::out_of_range,
                              .pointer = place,
                              .name = std::to_string(list->size()),
                              .most = most_placement_epochs});
            continue;
        }
        records[service] =
            read_service(*list, place, active_targets_of(active, service), faults);
    }
    return records;
}

} // namespace kumquatpath
