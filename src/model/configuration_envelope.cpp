#include "model/cut_targets.hpp"
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
                                      key("retired"),    key("document")};
constexpr std::uint64_t largest_number = std::numeric_limits<std::int64_t>::max();

/// The latest wall time that is read, in milliseconds: the year 9999. A later one could
/// overflow when it is converted to finer units.
constexpr std::uint64_t latest_wall_time_ms = 253'402'300'799'999;

wall_time wall_time_of(std::uint64_t milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

/// Copies what the envelope knows into its checked configuration.
void complete(configuration_envelope& envelope)
{
    envelope.checked.generation = envelope.generation;
    envelope.checked.submission = envelope.submission;
}

/// Returns how long a target that takes no new flows may hold open ones: by the longest
/// flow lifetime before and after, as flows of both times may be open.
std::chrono::seconds keep_time(const configuration& before, const configuration& after)
{
    std::chrono::seconds keep{0};
    for (const configuration* whole : {&before, &after})
    {
        for (const service& each : whole->services)
        {
            keep = std::max(keep, each.flow_lifetime);
        }
    }
    return (keep.count() == 0 ? service{}.flow_lifetime : keep) + retirement_slack;
}

/// Returns the targets that next takes no new flows to and that may hold open ones.
retirements next_retirements(const configuration_envelope& previous,
                             const configuration_envelope& next)
{
    retirements retired = previous.retired;
    for (const std::string& each : targets_taking_flows(previous.checked))
    {
        retired[each] = next.submitted_at;
    }
    for (const std::string& each : targets_taking_flows(next.checked))
    {
        retired.erase(each);
    }
    const auto keep = keep_time(previous.checked, next.checked);
    std::erase_if(retired, [&](const auto& each)
                  { return each.second + keep <= next.submitted_at; });
    return retired;
}

json::object write_retirements(const retirements& retired)
{
    json::object written;
    for (const auto& [name, since] : retired)
    {
        written[name] = since.time_since_epoch().count();
    }
    return written;
}

/// Reads what write_retirements() wrote. What is wrong is added to \p faults.
retirements read_retirements(const json::value& section, fault_list& faults)
{
    std::vector<key> names;
    for (const auto& member : section.get_object())
    {
        names.push_back(member.key());
    }
    object_reader object(section, "/retired", names, faults);
    retirements retired;
    for (const key name : names)
    {
        retired[std::string(name)] =
            wall_time_of(object.number(name, {.maximum = latest_wall_time_ms}));
    }
    return retired;
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
        next.retired = next_retirements(*previous, next);
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
        {"retired", write_retirements(envelope.retired)},
        {"document", envelope.document}};
    std::string text = json::serialize(whole);
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
    const auto whole = parse_json(text, faults);
    if (!whole)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    object_reader object(*whole, "", envelope_keys, faults);
    configuration_envelope envelope;
    envelope.generation = {
        object.number("generation", {.minimum = 1, .maximum = largest_number})};
    envelope.submission = object.required_string("submission");
    envelope.author = object.required_string("author");
    envelope.submitted_at =
        wall_time_of(object.number("submitted_at_ms", {.maximum = latest_wall_time_ms}));
    const json::object* const retired = object.object("retired", true);
    const json::object* const document = object.object("document", true);
    if (!faults.empty() || document == nullptr || retired == nullptr)
    {
        return boost::leaf::new_error(configuration_faults{std::move(faults)});
    }
    envelope.document = *document;
    BOOST_LEAF_ASSIGN(envelope.checked, check_document(envelope.document, "/document"));
    envelope.retired = read_retirements(*object.find("retired"), faults);
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
