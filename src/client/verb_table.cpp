#include "client/verb_table.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace kumquatpath
{
namespace
{

template <class... Arguments>
constexpr std::uint32_t argument_set(Arguments... arguments)
{
    return (0U | ... | static_cast<std::uint32_t>(arguments));
}

constexpr std::array entries = {
    verb_entry{
        .verb = verb::apply,
        .name = "apply",
        .is_command = true,
        .arguments =
            argument_set(argument::file, argument::base, argument::wait, argument::author,
                         argument::cut_flows, argument::instances),
        .synopsis = "apply FILE [--base GENERATION] [--wait] [--timeout SECONDS]",
        .summary = "submit a whole configuration",
        .help =
            R"(Checks FILE as a whole and publishes it as a new generation. "-" reads the standard
input. Nothing is published if the check finds a fault.

A file that came from `kumquatpath show` names the generation that it was edited from.
For any other file, --base names it: look at `kumquatpath diff FILE`, then give the
generation that the diff was made against. Changes that others made since are kept if
they are to other objects; otherwise the command ends with 4 and names the objects.
The first configuration of all needs no base.

A target that open flows may rest on can't be removed or moved: drain it first, and remove
it when the longest flow lifetime is over, or with --cut-flows as soon as
`kumquatpath metrics` shows no flow of it.

If the platform's answer is lost, the client reads back whether its submission took
effect, and says so.

  --base GENERATION  the generation that FILE was edited from
  --cut-flows        allow it to remove or move targets that open flows may rest on
  --wait             wait until every instance that can be reached has it in force
  --timeout SECONDS  how long --wait lasts (60)
  --author NAME      who submits it ($USER)

Examples:
  kumquatpath show > site.json
  (edit site.json)
  kumquatpath diff site.json
  kumquatpath apply site.json --wait
)"},
    verb_entry{
        .verb = verb::drain,
        .name = "drain",
        .is_command = true,
        .arguments = argument_set(argument::object, argument::wait, argument::author,
                                  argument::instances),
        .synopsis = "drain KIND NAME... [--wait] [--timeout SECONDS]",
        .summary = "withdraw targets, instances or data centres",
        .help =
            R"(Publishes one new generation in which the objects take no new flows; open flows go on to
their end. KIND is target, instance or data-centre. `kumquatpath metrics` shows the flows
that each target still has. It is refused when a service would be left without a target, or when
the targets of one service change for the ninth time within its flow lifetime: name several
objects at once to change them together.

  --wait             wait until every instance that can be reached has it in force
  --timeout SECONDS  how long --wait lasts (60)
  --author NAME      who submits it ($USER)

Examples:
  kumquatpath drain target catalogue-3 catalogue-4
  kumquatpath drain data-centre nairobi-b --wait
)"},
    verb_entry{
        .verb = verb::undrain,
        .name = "undrain",
        .is_command = true,
        .arguments = argument_set(argument::object, argument::wait, argument::author,
                                  argument::instances),
        .synopsis = "undrain KIND NAME... [--wait] [--timeout SECONDS]",
        .summary = "let drained objects take new flows again",
        .help =
            R"(Publishes one new generation in which the objects take new flows. KIND is target,
instance or data-centre.

  --wait             wait until every instance that can be reached has it in force
  --timeout SECONDS  how long --wait lasts (60)
  --author NAME      who submits it ($USER)

Examples:
  kumquatpath undrain data-centre nairobi-b --wait
)"},
    verb_entry{
        .verb = verb::rollback,
        .name = "rollback",
        .is_command = true,
        .arguments =
            argument_set(argument::required_generation, argument::wait, argument::author,
                         argument::cut_flows, argument::instances),
        .synopsis = "rollback GENERATION [--wait] [--timeout SECONDS]",
        .summary = "submit an earlier configuration again",
        .help =
            R"(Publishes the content of an earlier generation as a new one; the generation never goes
back. `kumquatpath history` lists the generations that can be had.

  --cut-flows        allow it to remove or move targets that open flows may rest on
  --wait             wait until every instance that can be reached has it in force
  --timeout SECONDS  how long --wait lasts (60)
  --author NAME      who submits it ($USER)

Examples:
  kumquatpath history
  kumquatpath rollback 41 --wait
)"},
    verb_entry{
        .verb = verb::check,
        .name = "check",
        .arguments = argument_set(argument::file),
        .synopsis = "check FILE",
        .summary = "list every fault in a document; needs no platform",
        .help =
            R"(Reads FILE and lists every fault with its place, as a JSON pointer, and what would
mend it. Ends with 0 if there is none and 1 otherwise. It needs no platform.

Examples:
  kumquatpath check site.json
  kumquatpath check site.json --json
)"},
    verb_entry{
        .verb = verb::show,
        .name = "show",
        .arguments = argument_set(argument::optional_generation),
        .synopsis = "show [--generation GENERATION]",
        .summary = "print the configuration in force",
        .help =
            R"(Prints the document that is in force, or that of an earlier generation. The key
"edited_from" in it names the generation, so that `apply` knows what an edit started
from.

  --generation GENERATION  an earlier one, from the history

Examples:
  kumquatpath show > site.json
  kumquatpath show --generation 41
)"},
    verb_entry{
        .verb = verb::diff,
        .name = "diff",
        .arguments = argument_set(argument::file),
        .synopsis = "diff FILE",
        .summary = "show how a document differs from what is in force",
        .help =
            R"(Lists the objects that FILE adds (+), removes (-) or changes (~) against the
configuration in force, and names its generation.

Examples:
  kumquatpath diff site.json
)"},
    verb_entry{.verb = verb::history,
               .name = "history",
               .arguments = argument_set(argument::last),
               .synopsis = "history [--last COUNT]",
               .summary = "list the generations, newest first",
               .help =
                   R"(Lists each generation with its time, its author and what it changed.

  --last COUNT  how many to list (20)

Examples:
  kumquatpath history
  kumquatpath history --last 5 --json
)"},
    verb_entry{
        .verb = verb::status,
        .name = "status",
        .arguments = argument_set(argument::instances),
        .synopsis = "status [--instance ip:port]...",
        .summary = "show which instances serve, and what is in force where",
        .help =
            R"(Asks the instances that are named, and every peer that they hear, for the generation
that they have in force, the age of what they know, their flows and their targets. It asks
instances only, so it works while the platform is away. Ends with 1 if an instance is
behind or can't be reached. The states are:
  ready        the fabric may send it packets
  not ready    it has no configuration or no targets yet, or it is being withdrawn
  leaving      it is shutting down and finishes what it has

  --instance ip:port  an instance's operators' address; may be given several times; also
                      $KUMQUATPATH_INSTANCE

Examples:
  kumquatpath status --instance 127.0.0.1:9102
  kumquatpath status --json
)"},
    verb_entry{
        .verb = verb::metrics,
        .name = "metrics",
        .arguments = argument_set(argument::instances),
        .synopsis = "metrics [--instance ip:port]...",
        .summary = "show counters and histograms of every instance",
        .help =
            R"(Prints the metrics page of every instance that `kumquatpath status` finds, each after a
line with its name.

  --instance ip:port  an instance's operators' address; may be given several times; also
                      $KUMQUATPATH_INSTANCE

Examples:
  kumquatpath metrics --instance 127.0.0.1:9102
)"},
};

constexpr std::string_view common_help = R"(
Options of all commands and queries:
  --platform ip:port  the platform's address; also $KUMQUATPATH_PLATFORM
  --instance ip:port  an instance to ask, for status, metrics, drain instance and --wait
  --json              print JSON
  --help              help on one command: kumquatpath apply --help

Exit codes:
  0  done
  1  refused: the document has faults, or the request can't be met
  2  the command line is not understood
  3  the platform was not reached; nothing was changed
  4  conflict: somebody else changed the same objects, which are named
  5  outcome unknown: the platform went away in the middle of a write
  6  published, but --wait ended before every reachable instance had it in force
)";

constexpr std::string_view first_steps = R"(
First time here? These change nothing:
  kumquatpath status               is every instance there and up to date?
  kumquatpath metrics              how fast are answers, what is refused?
  kumquatpath history              who changed what, and when?
To change something:
  kumquatpath show > site.json     take the configuration in force
  kumquatpath check site.json      after editing: is it right?
  kumquatpath diff site.json       what would change?
  kumquatpath apply site.json --wait
To take it back:
  kumquatpath rollback GENERATION --wait
)";

void print_entries(std::ostream& out, bool commands)
{
    constexpr int width = 12;
    for (const verb_entry& each : entries)
    {
        if (each.is_command == commands)
        {
            out << "  " << std::left << std::setw(width) << each.name << each.summary
                << '\n';
        }
    }
}

std::string overview()
{
    std::ostringstream out;
    out << "kumquatpath: the operators' client of the kumquatpath load balancer\n\n"
           "Usage: kumquatpath COMMAND|QUERY [arguments] [options]\n\n"
           "Commands (they change the configuration):\n";
    print_entries(out, true);
    out << "\nQueries (they change nothing):\n";
    print_entries(out, false);
    out << first_steps << common_help;
    return out.str();
}

} // namespace

std::span<const verb_entry> verb_entries()
{
    return entries;
}

const verb_entry* find_verb_entry(std::string_view name)
{
    const auto* const found = std::ranges::find(entries, name, &verb_entry::name);
    return found == entries.end() ? nullptr : found;
}

bool is_command(verb value)
{
    return std::ranges::find(entries, value, &verb_entry::verb)->is_command;
}

std::string help_text(const std::optional<verb>& topic)
{
    if (!topic)
    {
        return overview();
    }
    const auto* const found = std::ranges::find(entries, *topic, &verb_entry::verb);
    std::ostringstream out;
    out << "Usage: kumquatpath " << found->synopsis << "\n\n"
        << found->help << common_help;
    return out.str();
}

} // namespace kumquatpath
