#include "client/client.hpp"

#include "client/commands.hpp"
#include "client/failure.hpp"

#include <kumquatpath/edge/platform_client.hpp>
#include <kumquatpath/model/configuration_check.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

/// What a verb works with.
struct client_context
{
    const command_options& options;
    std::ostream& out;
    std::ostream& errors;
};

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

/// Returns a random text that tells this submission from every other.
std::string new_submission()
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

leaf::result<endpoint> platform_address(const command_options& options)
{
    if (options.platform.empty())
    {
        return leaf::new_error(usage_fault{
            "--platform", "Give the platform's address, or set KUMQUATPATH_PLATFORM."});
    }
    return leaf::try_handle_some(
        [&] { return parse_endpoint(options.platform); },
        [](const malformed_endpoint& fault) -> leaf::result<endpoint>
        {
            return leaf::new_error(usage_fault{fault.text,
                                               "Write the platform's address like "
                                               "\"127.0.0.1:8500\"."});
        });
}

leaf::result<exit_code> run_check(const client_context& context)
{
    BOOST_LEAF_AUTO(text, read_file(context.options.file));
    BOOST_LEAF_CHECK(check_document(text));
    if (context.options.json)
    {
        context.out << json::serialize(json::object{{"faults", json::array()}}) << '\n';
    }
    else
    {
        context.out << context.options.file << ": no fault found\n";
    }
    return exit_code::success;
}

leaf::result<publication> run_edit(const client_context& context, key_value_store& store)
{
    const command_options& options = context.options;
    const submitter by{
        .author = options.author, .submission = new_submission(), .now = wall_now()};
    switch (options.verb)
    {
    case verb::drain:
        return change_state(store, {options.kind, options.name}, by);
    case verb::undrain:
        return change_state(
            store, {options.kind, options.name, administrative_state::active}, by);
    case verb::rollback:
        return roll_back(store, *options.generation, by);
    default:
        break;
    }
    BOOST_LEAF_AUTO(text, read_file(options.file));
    return apply(store, text, options.base, by);
}

void tell(const client_context& context, const publication& result)
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
        context.out << "Nothing to change: generation " << result.published.value
                    << " already says so.\n";
        return;
    }
    if (result.was_read_back)
    {
        context.out << "The platform's answer was lost; reading back shows that the "
                       "submission took effect.\n";
    }
    if (result.was_merged)
    {
        context.out << "Changes that others made to other objects meanwhile are kept.\n";
    }
    context.out << "Published generation " << result.published.value << ".\n";
}

leaf::result<exit_code> run_command(const client_context& context)
{
    BOOST_LEAF_AUTO(address, platform_address(context.options));
    platform_client store({.server = address});
    BOOST_LEAF_AUTO(result, run_edit(context, store));
    tell(context, result);
    return exit_code::success;
}

leaf::result<exit_code> run_verb(const client_context& context)
{
    if (context.options.verb == verb::check)
    {
        return run_check(context);
    }
    return run_command(context);
}

} // namespace

exit_code run_client(const std::vector<std::string>& arguments,
                     const command_environment& environment, std::ostream& out,
                     std::ostream& errors)
{
    const bool json = std::ranges::find(arguments, "--json") != arguments.end();
    return run_and_tell(
        [&]() -> leaf::result<exit_code>
        {
            BOOST_LEAF_AUTO(options, read_command_line(arguments, environment));
            return run_verb({options, out, errors});
        },
        {.out = out, .errors = errors, .json = json});
}

} // namespace kumquatpath
