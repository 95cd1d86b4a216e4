#include "client/failure.hpp"

#include "client/command_line.hpp"
#include "client/publication.hpp"
#include "client/wall_clock.hpp"

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <ostream>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

/// The report of one failure.
struct failure_report
{
    exit_code code = exit_code::refused;
    /// Value of "failure" in JSON output.
    std::string kind;
    std::string message;
    /// Further members of the JSON output.
    json::object details;
};

exit_code print_report(const failure_output& output, failure_report report)
{
    if (!output.json)
    {
        output.errors << report.message << '\n';
        return report.code;
    }
    json::object object = std::move(report.details);
    object["failure"] = report.kind;
    object["message"] = report.message;
    output.out << json::serialize(object) << '\n';
    return report.code;
}

failure_report make_report(const configuration_faults& failure)
{
    failure_report report{.kind = "configuration_faults"};
    json::array fault_list;
    for (const configuration_fault& each : failure.faults)
    {
        const std::string location = each.pointer.empty() ? "(document)" : each.pointer;
        report.message += location + ": " + description(each) + ' ' + remedy(each) + '\n';
        fault_list.push_back(json::object{{"kind", to_string(each.kind)},
                                          {"pointer", each.pointer},
                                          {"name", each.name},
                                          {"description", description(each)},
                                          {"remedy", remedy(each)}});
    }
    const std::size_t count = failure.faults.size();
    report.message += std::to_string(count) + (count == 1 ? " fault" : " faults");
    report.details["faults"] = std::move(fault_list);
    return report;
}

failure_report make_report(const edit_conflict& failure)
{
    failure_report report{.code = exit_code::conflict, .kind = "conflict"};
    report.message =
        "Conflict: generation " + std::to_string(failure.in_force.value) + " is in force";
    if (!failure.author.empty())
    {
        report.message += ", submitted by " + failure.author;
    }
    report.message +=
        ". Other submissions have changed the same objects since the edit's base:\n";
    json::array objects;
    for (const object_path& each : failure.objects)
    {
        const std::string pointer = to_pointer(each);
        report.message += "  " + pointer + '\n';
        objects.emplace_back(pointer);
    }
    report.message +=
        "Nothing was published. Repeat the edit on the output of `kumquatpath show`.";
    report.details["objects"] = std::move(objects);
    report.details["generation"] = failure.in_force.value;
    return report;
}

failure_report make_report(const flows_at_risk& failure)
{
    failure_report report{.kind = "flows_at_risk"};
    report.message =
        "This change removes or moves targets that may still have open flows:\n";
    json::array targets;
    for (const std::string& each : failure.targets)
    {
        report.message += "  " + each + '\n';
        targets.emplace_back(each);
    }
    report.message +=
        "Nothing was published. Drain these targets first and remove them after "
        "the longest flow lifetime,\nor with --cut-flows as soon as "
        "`kumquatpath metrics` shows no flows on them.";
    report.details["targets"] = std::move(targets);
    return report;
}

failure_report make_report(const base_required& failure)
{
    const std::string generation = std::to_string(failure.in_force.value);
    return {.kind = "base_required",
            .message = "Generation " + generation +
                       " is in force, and the file does not name the generation that it "
                       "was edited from.\nNothing was published. Run `kumquatpath diff "
                       "FILE`; if it shows only the intended changes, add --base " +
                       generation + '.',
            .details = {{"generation", failure.in_force.value}}};
}

failure_report make_report(const unknown_object& failure)
{
    std::string message =
        "There is no " + failure.kind + " called \"" + failure.name + "\".";
    if (!failure.suggestion.empty())
    {
        message += " Did you mean \"" + failure.suggestion + "\"?";
    }
    return {.kind = "unknown_object",
            .message = std::move(message),
            .details = {{"name", failure.name}, {"suggestion", failure.suggestion}}};
}

failure_report make_report(const unknown_generation& failure)
{
    return {.kind = "unknown_generation",
            .message = "Generation " + std::to_string(failure.generation.value) +
                       " is not known. `kumquatpath history` lists the known ones."};
}

failure_report make_report(const nothing_in_force&)
{
    return {.kind = "nothing_in_force",
            .message = "No configuration is in force yet. Submit one with `kumquatpath "
                       "apply FILE`."};
}

failure_report make_report(const unreadable_file& failure)
{
    return {.code = exit_code::usage,
            .kind = "unreadable_file",
            .message = "The file \"" + failure.name + "\" cannot be read."};
}

failure_report make_report(const usage_error& failure)
{
    std::string message = failure.reason;
    if (!failure.argument.empty())
    {
        message = failure.argument + ": " + message;
    }
    return {.code = exit_code::usage,
            .kind = "usage",
            .message = message + "\nSee `kumquatpath --help`."};
}

failure_report make_report(const outcome_unknown& failure)
{
    return {.code = exit_code::outcome_unknown,
            .kind = "outcome_unknown",
            .message = "Outcome unknown: the platform became unreachable during the "
                       "write.\nWhen it is reachable again, look for submission " +
                       failure.submission + " in `kumquatpath history`.",
            .details = {{"submission", failure.submission}}};
}

failure_report make_report(const too_many_attempts& failure)
{
    return {.code = exit_code::conflict,
            .kind = "too_many_attempts",
            .message = "Gave up after " + std::to_string(failure.attempts) +
                       " attempts: other submissions were published at the same time. "
                       "Nothing was published; try again."};
}

failure_report platform_unavailable(std::string kind, const std::string& reason)
{
    return {.code = exit_code::platform_unavailable,
            .kind = std::move(kind),
            .message = reason +
                       " Nothing was changed: while the platform is unavailable, "
                       "configurations can be neither read nor published, and "
                       "the configuration in force stays in force."};
}

failure_report make_report(const store_unreachable&)
{
    return platform_unavailable("store_unreachable", "The platform cannot be reached.");
}

failure_report make_report(const store_timeout&)
{
    return platform_unavailable("store_timeout", "The platform did not respond in time.");
}

failure_report make_report(const store_malformed_answer& failure)
{
    return platform_unavailable("store_malformed_answer",
                                "The platform's response is malformed (HTTP status " +
                                    std::to_string(failure.status) + ").");
}

} // namespace

exit_code run_and_report(const std::function<boost::leaf::result<exit_code>()>& action,
                         const failure_output& output)
{
    const auto report = [&output](const auto& failure)
    {
        return print_report(output, make_report(failure));
    };
    return boost::leaf::try_handle_all(
        action,
        [&](const help_request& help)
        {
            output.out << help_text(help.verb);
            return exit_code::success;
        },
        [&](const configuration_faults& failure) { return report(failure); },
        [&](const edit_conflict& failure) { return report(failure); },
        [&](const flows_at_risk& failure) { return report(failure); },
        [&](const base_required& failure) { return report(failure); },
        [&](const unknown_object& failure) { return report(failure); },
        [&](const unknown_generation& failure) { return report(failure); },
        [&](const nothing_in_force& failure) { return report(failure); },
        [&](const unreadable_file& failure) { return report(failure); },
        [&](const usage_error& failure) { return report(failure); },
        [&](const outcome_unknown& failure) { return report(failure); },
        [&](const too_many_attempts& failure) { return report(failure); },
        [&](const store_unreachable& failure) { return report(failure); },
        [&](const store_timeout& failure) { return report(failure); },
        [&](const store_malformed_answer& failure) { return report(failure); },
        [&]
        {
            return print_report(output,
                                {.kind = "unexpected",
                                 .message = "Unexpected failure; its cause is unknown."});
        });
}

} // namespace kumquatpath
