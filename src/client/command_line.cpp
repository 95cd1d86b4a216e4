#include "client/command_line.hpp"

#include "client/verb_table.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iterator>

namespace kumquatpath
{
namespace
{

namespace leaf = boost::leaf;

constexpr std::string_view version = "0.1.0";

leaf::error_id make_usage_error(std::string argument, std::string reason)
{
    return leaf::new_error(usage_error{std::move(argument), std::move(reason)});
}

bool asks_for_help(const std::vector<std::string>& arguments)
{
    return std::ranges::any_of(arguments, [](const std::string& each)
                               { return each == "--help" || each == "-h"; });
}

/// Returns the position of the verb: the first argument that is neither an option nor the
/// value of --platform. No other option that takes a value may precede the verb.
std::vector<std::string>::const_iterator
find_verb(const std::vector<std::string>& arguments)
{
    auto position = arguments.begin();
    while (position != arguments.end() && position->starts_with('-'))
    {
        position +=
            *position == "--platform" && std::next(position) != arguments.end() ? 2 : 1;
    }
    return position;
}

/// Parses the arguments of one verb. All arguments are members, but only those that the
/// verb takes are registered with the TCLAP parser.
class verb_parser
{
public:
    explicit verb_parser(const verb_entry& entry)
        : line_(std::string(entry.summary), ' ', std::string(version), false)
    {
        line_.setExceptionHandling(false);
        line_.add(platform_);
        line_.add(json_);
        add_if(entry, argument::file, file_);
        add_if(entry, argument::object, kind_);
        add_if(entry, argument::object, names_);
        add_if(entry, argument::required_generation, generation_);
        add_if(entry, argument::optional_generation, generation_option_);
        add_if(entry, argument::base, base_);
        add_if(entry, argument::cut_flows, cut_flows_);
        add_if(entry, argument::wait, wait_);
        add_if(entry, argument::wait, timeout_);
        add_if(entry, argument::author, author_);
        add_if(entry, argument::last, last_);
        add_if(entry, argument::instances, instances_);
        add_if(entry, argument::check_demands, strict_);
        add_if(entry, argument::check_demands, compare_);
    }

    leaf::result<command_options> parse(const verb_entry& entry,
                                        std::vector<std::string> arguments,
                                        const command_environment& environment)
    {
        try
        {
            line_.parse(arguments);
        }
        catch (const TCLAP::ArgException& exception)
        {
            return make_usage_error(exception.argId(), exception.error());
        }
        command_options options{.verb = entry.verb};
        options.platform =
            platform_.isSet() ? platform_.getValue() : environment.platform;
        options.author = author_.isSet() ? author_.getValue() : environment.user;
        options.json = json_.getValue();
        options.file = file_.getValue();
        options.names = names_.getValue();
        options.may_cut_flows = cut_flows_.getValue();
        options.wait = wait_.getValue();
        options.timeout = std::chrono::seconds(timeout_.getValue());
        options.last = last_.getValue();
        options.strict = strict_.getValue();
        options.compare = compare_.getValue();
        options.instances = instances_.getValue();
        if (options.instances.empty() && !environment.instance.empty())
        {
            options.instances.push_back(environment.instance);
        }
        if (base_.isSet())
        {
            options.base = generation{base_.getValue()};
        }
        if (generation_.isSet() || generation_option_.isSet())
        {
            options.generation =
                generation{generation_.isSet() ? generation_.getValue()
                                               : generation_option_.getValue()};
        }
        if (entry.takes(argument::object))
        {
            BOOST_LEAF_ASSIGN(options.kind, read_kind());
        }
        return options;
    }

private:
    void add_if(const verb_entry& entry, argument which, TCLAP::Arg& arg)
    {
        if (entry.takes(which))
        {
            line_.add(arg);
        }
    }

    leaf::result<drainable_kind> read_kind()
    {
        const std::string& word = kind_.getValue();
        if (word == "target")
        {
            return drainable_kind::target;
        }
        if (word == "instance")
        {
            return drainable_kind::instance;
        }
        if (word == "data-centre")
        {
            return drainable_kind::data_centre;
        }
        return make_usage_error(
            word, "Unknown kind of object; expected target, instance or data-centre.");
    }

    using text_option = TCLAP::ValueArg<std::string>;
    using number_option = TCLAP::ValueArg<std::uint64_t>;
    using positional_text = TCLAP::UnlabeledValueArg<std::string>;

    TCLAP::CmdLine line_;
    text_option platform_{"", "platform", "the platform's address", false, "", "ip:port"};
    TCLAP::SwitchArg json_{"", "json", "print JSON"};
    positional_text file_{"file", "a configuration document", true, "", "FILE"};
    positional_text kind_{"kind", "kind of the objects", true, "", "KIND"};
    TCLAP::UnlabeledMultiArg<std::string> names_{"name", "names of the objects", true,
                                                 "NAME"};
    TCLAP::UnlabeledValueArg<std::uint64_t> generation_{"generation", "a generation",
                                                        true, 0, "GENERATION"};
    number_option generation_option_{"", "generation", "a generation", false,
                                     0,  "GENERATION"};
    number_option base_{"",    "base", "the generation the file was edited from",
                        false, 0,      "GENERATION"};
    TCLAP::SwitchArg cut_flows_{
        "", "cut-flows",
        "allow removing or moving targets that may still have open flows"};
    TCLAP::SwitchArg wait_{"", "wait", "wait until the generation is in force"};
    TCLAP::ValueArg<std::uint32_t> timeout_{"",    "timeout", "time limit of --wait",
                                            false, 60,        "SECONDS"};
    text_option author_{"", "author", "who submits the change", false, "", "NAME"};
    TCLAP::MultiArg<std::string> instances_{"", "instance", "an instance to query", false,
                                            "ip:port"};
    TCLAP::SwitchArg strict_{"", "strict", "fail if there are warnings"};
    TCLAP::SwitchArg compare_{"", "compare", "fail if the document cannot be compared"};
    number_option last_{"", "last", "number of generations to list", false, 20, "COUNT"};
};

} // namespace

leaf::result<command_options> read_command_line(const std::vector<std::string>& arguments,
                                                const command_environment& environment)
{
    const auto verb_position = find_verb(arguments);
    if (verb_position == arguments.end())
    {
        if (arguments.empty() || asks_for_help(arguments))
        {
            return leaf::new_error(help_request{});
        }
        return make_usage_error("", "Missing command or query.");
    }
    const verb_entry* const entry = find_verb_entry(*verb_position);
    if (entry == nullptr)
    {
        if (*verb_position == "help")
        {
            return leaf::new_error(help_request{});
        }
        return make_usage_error(*verb_position, "Unknown command or query.");
    }
    if (asks_for_help(arguments))
    {
        return leaf::new_error(help_request{entry->verb});
    }
    // TCLAP expects the program's name as the first argument.
    std::vector<std::string> rest = {"kumquatpath"};
    rest.insert(rest.end(), arguments.begin(), verb_position);
    rest.insert(rest.end(), std::next(verb_position), arguments.end());
    return verb_parser(*entry).parse(*entry, std::move(rest), environment);
}

} // namespace kumquatpath
