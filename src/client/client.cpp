#include "client/client.hpp"

#include "client/check.hpp"
#include "client/commands.hpp"
#include "client/failure.hpp"
#include "client/fleet.hpp"
#include "client/queries.hpp"
#include "client/verb_table.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <platform/store_client.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <random>
#include <sstream>
#include <thread>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

/// The parsed options and the output streams of one run.
struct client_context
{
    const command_options& options;
    std::ostream& out;
    std::ostream& errors;
};

/// Timeout of one HTTP request to one instance.
constexpr std::chrono::milliseconds instance_request_timeout{1000};
/// Pause between two polls of the instances by --wait.
constexpr std::chrono::milliseconds poll_interval{250};

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

/// Sleeps before retry number \p attempt, which counts from 1: exponential backoff with
/// random jitter, so that competing clients do not retry in step.
void back_off(std::size_t attempt)
{
    constexpr std::chrono::milliseconds base_pause{50};
    constexpr std::chrono::milliseconds max_pause{1000};
    const auto pause = std::min(base_pause * (1 << attempt), max_pause);
    std::random_device source;
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    std::this_thread::sleep_for(std::chrono::milliseconds(jitter(source)));
}

/// Returns a random identifier for a submission, in hexadecimal digits.
std::string new_submission_id()
{
    std::random_device source;
    std::ostringstream text;
    constexpr int words = 4;
    for (int i = 0; i < words; ++i)
    {
        text << std::hex << source();
    }
    return text.str();
}

leaf::result<std::string> read_file(const std::string& name)
{
    if (name == "-")
    {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(name, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file.is_open() || file.bad())
    {
        return leaf::new_error(unreadable_file{name});
    }
    return text;
}

leaf::result<endpoint> parse_endpoint_option(const std::string& text,
                                             const std::string& option)
{
    return leaf::try_handle_some(
        [&] { return parse_endpoint(text); },
        [&](const malformed_endpoint& fault) -> leaf::result<endpoint>
        {
            return leaf::new_error(
                usage_error{fault.text, "Malformed address; " + option +
                                            " takes ip:port, such as 127.0.0.1:8500."});
        });
}

leaf::result<endpoint> platform_address(const command_options& options)
{
    if (options.platform.empty())
    {
        return leaf::new_error(usage_error{"--platform",
                                           "The platform's address is missing. Pass this "
                                           "option or set KUMQUATPATH_PLATFORM."});
    }
    return parse_endpoint_option(options.platform, "--platform");
}

/// Returns the statuses of the instances that the command line names and of the peers
/// that those instances report. Fails with usage_error if the command line names no
/// instance.
leaf::result<std::vector<instance_status>> read_statuses(const command_options& options)
{
    if (options.instances.empty())
    {
        return leaf::new_error(
            usage_error{"--instance", "The address of an instance is missing. Pass this "
                                      "option or set KUMQUATPATH_INSTANCE."});
    }
    std::vector<endpoint> seed_addresses;
    for (const std::string& each : options.instances)
    {
        BOOST_LEAF_AUTO(address, parse_endpoint_option(each, "--instance"));
        seed_addresses.push_back(address);
    }
    return query_fleet(seed_addresses, instance_request_timeout);
}

/// Returns the names of the instances that responded.
leaf::result<std::vector<std::string>> read_instance_names(const command_options& options)
{
    BOOST_LEAF_AUTO(statuses, read_statuses(options));
    std::vector<std::string> names;
    for (const instance_status& each : statuses)
    {
        if (each.report)
        {
            names.push_back(each.report->name);
        }
    }
    return names;
}

/// Compares \p document with the configuration in force. Fails with usage_error if the
/// platform's address is missing or malformed.
leaf::result<comparison> compare(const command_options& options,
                                 const json::value& document)
{
    BOOST_LEAF_AUTO(address, platform_address(options));
    platform::store_client store(address);
    return compare_if_possible(store, document);
}

/// Does the same, but without a usable address returns the reason: a check needs no
/// platform unless --compare asks for one.
leaf::result<comparison> compare_if_asked(const command_options& options,
                                          const json::value& document)
{
    if (options.compare)
    {
        return compare(options, document);
    }
    if (options.platform.empty())
    {
        return comparison(not_compared::no_platform);
    }
    return leaf::try_handle_some([&] { return compare(options, document); },
                                 [](const usage_error&) -> leaf::result<comparison>
                                 { return comparison(not_compared::malformed_address); });
}

leaf::result<exit_code> run_check(const client_context& context)
{
    const command_options& options = context.options;
    BOOST_LEAF_AUTO(text, read_file(options.file));
    BOOST_LEAF_AUTO(file, read_document(text));
    check_result result{.warnings = review_configuration(file.checked_configuration)};
    BOOST_LEAF_ASSIGN(result.comparison, compare_if_asked(options, file.document));
    print_check(context.out, options.file, result, options.json);
    return exit_code_of(result,
                        {.no_warnings = options.strict, .comparison = options.compare});
}

leaf::result<publication> run_edit(const client_context& context, key_value_store& store)
{
    const command_options& options = context.options;
    const submission_context submission{.author = options.author,
                                        .submission = new_submission_id(),
                                        .now = wall_now(),
                                        .may_cut_flows = options.may_cut_flows,
                                        .pause = back_off};
    if (options.verb == verb::drain || options.verb == verb::undrain)
    {
        state_change change{.kind = options.kind,
                            .names = options.names,
                            .state = options.verb == verb::drain
                                         ? administrative_state::draining
                                         : administrative_state::active};
        if (options.kind == drainable_kind::instance && options.verb == verb::drain)
        {
            BOOST_LEAF_ASSIGN(change.known_instances, read_instance_names(options));
        }
        return change_state(store, change, submission);
    }
    if (options.verb == verb::rollback)
    {
        return roll_back(store, *options.generation, submission);
    }
    BOOST_LEAF_AUTO(text, read_file(options.file));
    return apply(store, text, options.base, submission);
}

void print_publication(const client_context& context, const publication& result)
{
    if (context.options.json)
    {
        context.out << json::serialize(
                           json::object{{"generation", result.published.value},
                                        {"published", result.is_new},
                                        {"merged", result.was_merged},
                                        {"read_back", result.was_read_back}})
                    << '\n';
        return;
    }
    if (!result.is_new)
    {
        context.out << "Nothing to publish: generation " << result.published.value
                    << " already has this content.\n";
        return;
    }
    if (result.was_read_back)
    {
        context.out
            << "The platform's response was lost, but reading the configuration back "
               "shows that the submission took effect.\n";
    }
    if (result.was_merged)
    {
        context.out
            << "Merged with changes that others made to other objects in the meantime.\n";
    }
    context.out << "Published generation " << result.published.value << ".\n";
}

/// Polls the instances until every reachable one has \p wanted or a later generation in
/// force, or until --timeout expires. Prints the progress when it changes.
exit_code wait_until_in_force(const client_context& context, generation wanted)
{
    std::ostream& out = context.options.json ? context.errors : context.out;
    const auto deadline = std::chrono::steady_clock::now() + context.options.timeout;
    std::size_t last_reported = std::numeric_limits<std::size_t>::max();
    while (true)
    {
        const auto progress = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<generation_progress>>
            {
                BOOST_LEAF_AUTO(statuses, read_statuses(context.options));
                return std::optional(progress_of(statuses, wanted));
            },
            [] { return std::optional<generation_progress>(); });
        const bool has_timed_out = std::chrono::steady_clock::now() >= deadline;
        const bool is_done = progress && is_complete(*progress);
        if (progress && (progress->in_force != last_reported || has_timed_out || is_done))
        {
            print_progress(out, *progress, wanted);
            last_reported = progress->in_force;
        }
        if (progress && !progress->not_stored.empty())
        {
            print_progress(out, *progress, wanted);
            return exit_code::not_stored;
        }
        if (is_done || has_timed_out)
        {
            return is_done ? exit_code::success : exit_code::not_in_force;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

leaf::result<exit_code> run_command(const client_context& context, key_value_store& store)
{
    BOOST_LEAF_AUTO(result, run_edit(context, store));
    print_publication(context, result);
    if (context.options.wait)
    {
        return wait_until_in_force(context, result.published);
    }
    return exit_code::success;
}

leaf::result<exit_code> run_metrics(const client_context& context)
{
    BOOST_LEAF_AUTO(statuses, read_statuses(context.options));
    const auto pages = fetch_pages(statuses, "/metrics", instance_request_timeout);
    for (std::size_t i = 0; i < pages.size(); ++i)
    {
        context.out << "# " << name_of(statuses[i]) << '\n' << pages[i];
    }
    return exit_code::success;
}

leaf::result<exit_code> run_status(const client_context& context)
{
    BOOST_LEAF_AUTO(statuses, read_statuses(context.options));
    const generation in_force = latest_generation(statuses);
    print_status(context.out, statuses, in_force, context.options.json);
    const generation_progress progress = progress_of(statuses, in_force);
    if (!progress.not_stored.empty())
    {
        return exit_code::not_stored;
    }
    const bool is_up_to_date = progress.behind.empty() && progress.unreachable.empty();
    return is_up_to_date ? exit_code::success : exit_code::refused;
}

leaf::result<exit_code> run_query(const client_context& context, key_value_store& store)
{
    const command_options& options = context.options;
    switch (options.verb)
    {
    case verb::show:
    {
        BOOST_LEAF_AUTO(envelope, show(store, options.generation));
        print_show(context.out, envelope, options.json);
        break;
    }
    case verb::diff:
    {
        BOOST_LEAF_AUTO(text, read_file(options.file));
        BOOST_LEAF_AUTO(found, diff(store, text));
        print_diff(context.out, found, options.json);
        break;
    }
    case verb::history:
    {
        BOOST_LEAF_AUTO(lines, history(store, options.last));
        print_history(context.out, lines, options.json);
        break;
    }
    default:
        break;
    }
    return exit_code::success;
}

leaf::result<exit_code> run_verb(const client_context& context)
{
    if (context.options.verb == verb::check)
    {
        return run_check(context);
    }
    if (context.options.verb == verb::status)
    {
        return run_status(context);
    }
    if (context.options.verb == verb::metrics)
    {
        return run_metrics(context);
    }
    BOOST_LEAF_AUTO(address, platform_address(context.options));
    platform::store_client store(address);
    return is_command(context.options.verb) ? run_command(context, store)
                                            : run_query(context, store);
}

} // namespace

exit_code run_client(const std::vector<std::string>& arguments,
                     const command_environment& environment, std::ostream& out,
                     std::ostream& errors)
{
    const bool json = std::ranges::find(arguments, "--json") != arguments.end();
    return run_and_report(
        [&]() -> leaf::result<exit_code>
        {
            BOOST_LEAF_AUTO(options, read_command_line(arguments, environment));
            return run_verb({options, out, errors});
        },
        {.out = out, .errors = errors, .json = json});
}

} // namespace kumquatpath
