#include "model/flows_at_risk.hpp"
#include "model/json_parse.hpp"
#include "model/object_reader.hpp"
#include "model/warming_targets.hpp"

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

constexpr std::array envelope_keys = {
    key("generation"), key("submission"), key("author"),  key("submitted_at_ms"),
    key("retired"),    key("warming"),    key("document")};
constexpr std::uint64_t max_generation = std::numeric_limits<std::int64_t>::max();

/// The latest wall-clock time that is accepted, in milliseconds since 1970: the end of
/// the year 9999. A later time could overflow when it is converted to finer units.
constexpr std::uint64_t latest_wall_time_ms = 253'402'300'799'999;

wall_time wall_time_of(std::uint64_t milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

void copy_generation_and_submission(configuration_envelope& envelope)
{
    envelope.checked_configuration.generation = envelope.generation;
    envelope.checked_configuration.submission = envelope.submission;
}

/// Returns how long a retired target stays listed: the longest flow lifetime of both
/// configurations, since flows opened under either may still be open, plus the margin.
std::chrono::seconds retention_time(const configuration& before,
                                    const configuration& after)
{
    std::chrono::seconds longest_lifetime{0};
    for (const configuration* config : {&before, &after})
    {
        for (const service& each : config->services)
        {
            longest_lifetime = std::max(longest_lifetime, each.flow_lifetime);
        }
    }
    return (longest_lifetime.count() == 0 ? service{}.flow_lifetime : longest_lifetime) +
           retention_clock_margin;
}

/// Returns the targets that accept no new flows under \p next but may hold open ones.
retired_targets next_retired_targets(const configuration_envelope& previous,
                                     const configuration_envelope& next)
{
    retired_targets retired = previous.retired;
    for (const std::string& each : targets_taking_flows(previous.checked_configuration))
    {
        retired[each] = next.submitted_at;
    }
    for (const std::string& each : targets_taking_flows(next.checked_configuration))
    {
        retired.erase(each);
    }
    const auto retention =
        retention_time(previous.checked_configuration, next.checked_configuration);
    std::erase_if(retired, [&](const auto& each)
                  { return each.second + retention <= next.submitted_at; });
    return retired;
}

json::object write_times(const named_times& times)
{
    json::object written;
    for (const auto& [name, since] : times)
    {
        written[name] = since.time_since_epoch().count();
    }
    return written;
}

/// Parses the output of write_times(), which is at \p pointer. Appends any faults to
/// \p faults.
named_times read_times(const json::value& section, const std::string& pointer,
                       fault_list& faults)
{
    std::vector<key> names;
    for (const auto& member : section.get_object())
    {
        names.push_back(member.key());
    }
    object_reader object(section, pointer, names, faults);
    named_times times;
    for (const key name : names)
    {
        times[std::string(name)] =
            wall_time_of(object.number(name, {.maximum = latest_wall_time_ms}));
    }
    return times;
}

} // namespace

boost::leaf::result<configuration_envelope>
next_envelope(const configuration_envelope* previous, submission_request request,
              wall_time now)
{
    configuration_envelope next;
    next.generation = {previous == nullptr ? 1 : previous->generation.value + 1};
    next.submission = std::move(request.submission);
    next.author = std::move(request.author);
    next.submitted_at = previous == nullptr ? now : std::max(now, previous->submitted_at);
    next.document = std::move(request.document);
    BOOST_LEAF_ASSIGN(next.checked_configuration, check_document(next.document, ""));
    if (previous != nullptr)
    {
        next.retired = next_retired_targets(*previous, next);
        next.warming = next_warming_targets(*previous, next);
        auto at_risk = targets_with_flows_at_risk(*previous, next);
        if (!at_risk.empty() && !request.may_cut_flows)
        {
            return boost::leaf::new_error(flows_at_risk{std::move(at_risk)});
        }
    }
    set_warm_ups(next.checked_configuration, next.warming);
    copy_generation_and_submission(next);
    return next;
}

boost::leaf::result<std::string> write_envelope(const configuration_envelope& envelope)
{
    json::object stored = {
        {"generation", envelope.generation.value},
        {"submission", envelope.submission},
        {"author", envelope.author},
        {"submitted_at_ms", envelope.submitted_at.time_since_epoch().count()},
        {"retired", write_times(envelope.retired)},
        {"document", envelope.document}};
    // Releases that do not know the key read the other envelopes.
    if (!envelope.warming.empty())
    {
        stored["warming"] = write_times(envelope.warming);
    }
    std::string text = json::serialize(stored);
    if (text.size() > max_stored_value_bytes)
    {
        return boost::leaf::new_error(
            configuration_faults{{{.kind = fault_kind::too_large,
                                   .name = std::to_string(text.size()),
                                   .maximum = max_stored_value_bytes}}});
    }
    return text;
}

boost::leaf::result<configuration_envelope> parse_envelope(std::string_view text)
{
    fault_list faults;
    const auto parsed = parse_json(text, faults);
    if (!parsed)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    object_reader object(*parsed, "", envelope_keys, faults);
    configuration_envelope envelope;
    envelope.generation = {
        object.number("generation", {.minimum = 1, .maximum = max_generation})};
    envelope.submission = object.required_string("submission");
    envelope.author = object.required_string("author");
    envelope.submitted_at =
        wall_time_of(object.number("submitted_at_ms", {.maximum = latest_wall_time_ms}));
    const json::object* const retired = object.object("retired", true);
    const json::object* const warming = object.object("warming", false);
    const json::object* const document = object.object("document", true);
    if (!faults.empty() || document == nullptr || retired == nullptr)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    envelope.document = *document;
    BOOST_LEAF_ASSIGN(envelope.checked_configuration,
                      check_document(envelope.document, "/document"));
    envelope.retired = read_times(*object.find("retired"), "/retired", faults);
    if (warming != nullptr)
    {
        envelope.warming = read_times(*object.find("warming"), "/warming", faults);
    }
    if (!faults.empty())
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    set_warm_ups(envelope.checked_configuration, envelope.warming);
    copy_generation_and_submission(envelope);
    return envelope;
}

boost::leaf::result<configuration> parse_stored_configuration(std::string_view text)
{
    BOOST_LEAF_AUTO(envelope, parse_envelope(text));
    return std::move(envelope.checked_configuration);
}

} // namespace kumquatpath
