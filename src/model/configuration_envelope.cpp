#include "model/cut_targets.hpp"
#include "model/epoch_codec.hpp"
#include "model/json_parse.hpp"
#include "model/object_reader.hpp"

#include <kumquatpath/model/configuration_check.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>
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
using key = std::string_view;

constexpr std::array envelope_keys = {key("generation"), key("submission"),
                                      key("author"),     key("submitted_at_ms"),
                                      key("epochs"),     key("document")};
constexpr std::uint64_t largest_number = std::numeric_limits<std::int64_t>::max();

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
        auto cut = cut_targets(*previous, next);
        if (!cut.empty() && !options.may_cut_flows)
        {
            return boost::leaf::new_error(flows_at_risk{std::move(cut)});
        }
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
        {"epochs", write_epochs(envelope.epochs, active_sets_of(envelope.checked))},
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
    const json::object* const epochs = object.object("epochs", true);
    const json::object* const document = object.object("document", true);
    if (!faults.empty() || document == nullptr || epochs == nullptr)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    envelope.document = *document;
    BOOST_LEAF_ASSIGN(envelope.checked, check_document(envelope.document, "/document"));
    envelope.epochs =
        read_epochs(*epochs, "/epochs", active_sets_of(envelope.checked), faults);
    if (!faults.empty())
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    complete(envelope);
    return envelope;
}

boost::leaf::result<configuration> read_envelope(std::string_view text)
{
    BOOST_LEAF_AUTO(envelope, parse_envelope(text));
    return std::move(envelope.checked);
}

} // namespace kumquatpath
