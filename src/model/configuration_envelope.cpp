#include "model/json_parse.hpp"
#include "model/object_reader.hpp"

#include <kumquatpath/model/configuration_check.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>
#include <kumquatpath/model/configuration_query.hpp>

#include <boost/json/array.hpp>
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
using key = std::string_view;

constexpr std::array envelope_keys = {key("generation"), key("submission"),
                                      key("author"),     key("submitted_at_ms"),
                                      key("epochs"),     key("document")};
constexpr std::array epoch_keys = {key("retired_in"), key("retired_at_ms"),
                                   key("targets")};
constexpr std::uint64_t largest_number = std::numeric_limits<std::int64_t>::max();
/// The latest wall time that is read, in milliseconds: the year 9999. A later one could
/// overflow when it is converted to finer units.
constexpr std::uint64_t latest_wall_time_ms = 253'402'300'799'999;

wall_time wall_time_of(std::uint64_t milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

json::object write_epoch(const epoch_record& epoch)
{
    json::array targets;
    for (const std::string& each : epoch.targets)
    {
        targets.emplace_back(each);
    }
    return {{"retired_in", epoch.retired_in.value},
            {"retired_at_ms", epoch.retired_at.time_since_epoch().count()},
            {"targets", std::move(targets)}};
}

json::object write_epochs(const epoch_records& records)
{
    json::object written;
    for (const auto& [service, epochs] : records)
    {
        json::array list;
        for (const epoch_record& each : epochs)
        {
            list.emplace_back(write_epoch(each));
        }
        written[service] = std::move(list);
    }
    return written;
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

epoch_record read_epoch(const json::value& value, const std::string& pointer,
                        fault_list& faults)
{
    object_reader object(value, pointer, epoch_keys, faults);
    epoch_record epoch;
    epoch.retired_in = {object.number("retired_in", {.most = largest_number})};
    epoch.retired_at =
        wall_time_of(object.number("retired_at_ms", {.most = latest_wall_time_ms}));
    const json::value* const targets = object.find("targets");
    const json::array* const list =
        targets == nullptr ? nullptr
                           : as_array(*targets, object.pointer_of("targets"), faults);
    if (list == nullptr)
    {
        return epoch;
    }
    for (const json::value& each : *list)
    {
        if (const json::string* const name = each.if_string())
        {
            epoch.targets.emplace_back(name->data(), name->size());
        }
    }
    std::ranges::sort(epoch.targets);
    return epoch;
}

epoch_records read_epochs(object_reader& envelope, fault_list& faults)
{
    epoch_records records;
    const json::object* const section = envelope.object("epochs", true);
    if (section == nullptr)
    {
        return records;
    }
    for (const auto& member : *section)
    {
        const std::string service(member.key().data(), member.key().size());
        const std::string pointer = envelope.pointer_of("epochs") + '/' + service;
        const json::array* const list = as_array(member.value(), pointer, faults);
        if (list == nullptr)
        {
            continue;
        }
        if (list->size() > most_placement_epochs)
        {
            faults.push_back({.kind = fault_kind::out_of_range,
                              .pointer = pointer,
                              .name = std::to_string(list->size()),
                              .most = most_placement_epochs});
            continue;
        }
        for (const json::value& each : *list)
        {
            records[service].push_back(read_epoch(each, pointer, faults));
        }
    }
    return records;
}

std::vector<target_id> ids_of(const std::vector<std::string>& names)
{
    std::vector<target_id> ids;
    ids.reserve(names.size());
    for (const std::string& each : names)
    {
        ids.push_back(id_of<target_id>(each));
    }
    std::ranges::sort(ids);
    return ids;
}

/// Copies what the envelope knows into its checked configuration.
void complete(configuration_envelope& envelope)
{
    envelope.checked.generation = envelope.generation;
    envelope.checked.submission = envelope.submission;
    for (service& each : envelope.checked.services)
    {
        const auto records = envelope.epochs.find(each.name);
        if (records == envelope.epochs.end())
        {
            continue;
        }
        for (const epoch_record& record : records->second)
        {
            each.epochs.push_back({.retired_in = record.retired_in,
                                   .retired_at = record.retired_at,
                                   .targets = ids_of(record.targets)});
        }
    }
}

using active_sets = std::map<std::string, std::vector<std::string>, std::less<>>;

active_sets active_sets_of(const configuration& whole)
{
    active_sets sets;
    for (const service& each : whole.services)
    {
        sets[each.name] = active_target_names(whole, whole.pools[each.pool]);
    }
    return sets;
}

/// Returns how long the past placements of \p service are kept: the longer of what it was
/// and what it will be, as flows of both times may be open.
std::chrono::seconds keep_time(const configuration& before, const configuration& after,
                               std::string_view service_name)
{
    std::chrono::seconds keep{0};
    for (const configuration* each : {&before, &after})
    {
        const auto found =
            std::ranges::find(each->services, service_name, &service::name);
        if (found != each->services.end())
        {
            keep = std::max(keep, found->flow_lifetime);
        }
    }
    // A service that was removed long ago has no lifetime on record.
    return (keep.count() == 0 ? service{}.flow_lifetime : keep) + epoch_slack;
}

/// Returns the past placements that \p next starts with.
boost::leaf::result<epoch_records> next_epochs(const configuration_envelope& previous,
                                               const configuration_envelope& next)
{
    epoch_records records = previous.epochs;
    const active_sets after = active_sets_of(next.checked);
    for (const auto& [name, targets] : active_sets_of(previous.checked))
    {
        const auto now_active = after.find(name);
        if (now_active == after.end() || now_active->second != targets)
        {
            records[name].push_back({.retired_in = next.generation,
                                     .retired_at = next.submitted_at,
                                     .targets = targets});
        }
    }
    for (auto& [name, epochs] : records)
    {
        const auto keep = keep_time(previous.checked, next.checked, name);
        std::erase_if(epochs, [&](const epoch_record& each)
                      { return each.retired_at + keep <= next.submitted_at; });
        if (epochs.size() > most_placement_epochs)
        {
            return boost::leaf::new_error(too_many_epochs{
                .service = name, .free_at = epochs.front().retired_at + keep});
        }
    }
    std::erase_if(records, [](const auto& each) { return each.second.empty(); });
    return records;
}

} // namespace

boost::leaf::result<configuration_envelope>
next_envelope(const configuration_envelope* previous, submission_options options,
              wall_time now)
{
    configuration_envelope next;
    next.generation = {previous == nullptr ? 1 : previous->generation.value + 1};
    next.submission = std::move(options.submission);
    next.author = std::move(options.author);
    next.submitted_at = previous == nullptr ? now : std::max(now, previous->submitted_at);
    next.document = std::move(options.document);
    BOOST_LEAF_ASSIGN(next.checked, check_document(next.document, ""));
    if (previous != nullptr)
    {
        BOOST_LEAF_ASSIGN(next.epochs, next_epochs(*previous, next));
    }
    complete(next);
    return next;
}

boost::leaf::result<std::string> write_envelope(const configuration_envelope& envelope)
{
    const json::object whole = {
        {"generation", envelope.generation.value},
        {"submission", envelope.submission},
        {"author", envelope.author},
        {"submitted_at_ms", envelope.submitted_at.time_since_epoch().count()},
        {"epochs", write_epochs(envelope.epochs)},
        {"document", envelope.document}};
    std::string text = json::serialize(whole);
    if (text.size() > largest_platform_value)
    {
        return boost::leaf::new_error(
            configuration_faults{{{.kind = fault_kind::too_large,
                                   .name = std::to_string(text.size()),
                                   .most = largest_platform_value}}});
    }
    return text;
}

boost::leaf::result<configuration_envelope> parse_envelope(std::string_view text)
{
    fault_list faults;
    const auto whole = parse_json(text, faults);
    if (!whole)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    object_reader object(*whole, "", envelope_keys, faults);
    configuration_envelope envelope;
    envelope.generation = {
        object.number("generation", {.least = 1, .most = largest_number})};
    envelope.submission = object.required_text("submission");
    envelope.author = object.required_text("author");
    envelope.submitted_at =
        wall_time_of(object.number("submitted_at_ms", {.most = latest_wall_time_ms}));
    envelope.epochs = read_epochs(object, faults);
    const json::object* const document = object.object("document", true);
    if (!faults.empty() || document == nullptr)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    envelope.document = *document;
    BOOST_LEAF_ASSIGN(envelope.checked, check_document(envelope.document, "/document"));
    complete(envelope);
    return envelope;
}

boost::leaf::result<configuration> read_envelope(std::string_view text)
{
    BOOST_LEAF_AUTO(envelope, parse_envelope(text));
    return std::move(envelope.checked);
}

} // namespace kumquatpath
