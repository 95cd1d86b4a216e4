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
        .summary = "publish a whole configuration",
        .help =
            R"(Checks FILE as a whole and publishes it as a new generation. If FILE is "-", reads the
standard input. Nothing is published if the check finds a fault.

A file that came from `kumquatpath show` names the generation that it was edited from.
For any other file, give that generation with --base: run `kumquatpath diff FILE` and use
the generation that the diff was made against. Changes that others have published since
that generation are kept if they concern other objects. If they concern the same objects,
the command exits with 4 and names them. The very first configuration needs no base.

A target that may still have open flows cannot be removed or moved. Drain it first; then
remove it after the longest flow lifetime, or with --cut-flows as soon as
`kumquatpath metrics` shows no flows on it.

If the platform's response to the write is lost, the client reads the configuration back
and reports whether its submission took effect.

  --base GENERATION  the generation that FILE was edited from
  --cut-flows        allow removing or moving targets that may still have open flows
  --wait             wait until every reachable instance has the generation in force
  --timeout SECONDS  time limit of --wait (default 60)
  --author NAME      who submits the change (default $USER)

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
        .summary = "stop new flows to targets, instances or data centres",
        .help =
            R"(Publishes one new generation in which the objects take no new flows; open flows continue
until they end. KIND is target, instance or data-centre. `kumquatpath metrics` shows the
flows that each target still has. The command is refused if a service would be left without
a target. A drained data centre is evacuated: `kumquatpath status` shows for how long and on
how many instances.

  --wait             wait until every reachable instance has the generation in force
  --timeout SECONDS  time limit of --wait (default 60)
  --author NAME      who submits the change (default $USER)

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
            R"(Publishes one new generation in which the objects take new flows again. KIND is target,
instance or data-centre.

  --wait             wait until every reachable instance has the generation in force
  --timeout SECONDS  time limit of --wait (default 60)
  --author NAME      who submits the change (default $USER)

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
        .summary = "publish an earlier configuration again",
        .help =
            R"(Publishes the content of an earlier generation as a new generation; generation numbers
only increase. `kumquatpath history` lists the available generations.

  --cut-flows        allow removing or moving targets that may still have open flows
  --wait             wait until every reachable instance has the generation in force
  --timeout SECONDS  time limit of --wait (default 60)
  --author NAME      who submits the change (default $USER)

Examples:
  kumquatpath history
  kumquatpath rollback 41 --wait
)"},
    verb_entry{
        .verb = verb::check,
        .name = "check",
        .arguments = argument_set(argument::file, argument::check_demands),
        .synopsis = "check FILE [--strict] [--compare]",
        .summary = "list faults and warnings; needs no platform",
        .help =
            R"(Reads FILE ("-": the standard input) and lists every fault with its location as a JSON
pointer and a way to fix it. If there is none, lists warnings: entries that have no effect,
and limits that contradict each other. Then shows what `kumquatpath diff FILE` shows if a
platform is set and responds within 2 s, or else why the document was not compared.

Exits with 1 if FILE has faults. Otherwise exits with 0, also with warnings and without a
comparison, unless these options ask for more:

  --strict   exit with 7 if there are warnings
  --compare  exit with 3 if the document could not be compared, and with 2 if no platform
             is set or its address is malformed

Examples:
  kumquatpath check site.json
  kumquatpath check site.json --json
  kumquatpath check site.json --strict --compare && kumquatpath apply site.json
)"},
    verb_entry{
        .verb = verb::show,
        .name = "show",
        .arguments = argument_set(argument::optional_generation),
        .synopsis = "show [--generation GENERATION]",
        .summary = "print the configuration in force",
        .help =
            R"(Prints the document of the configuration in force or of an earlier generation. The
document's key "edited_from" names the generation, so that `apply` knows what the file was
edited from.

  --generation GENERATION  an earlier generation from the history

Examples:
  kumquatpath show > site.json
  kumquatpath show --generation 41
)"},
    verb_entry{
        .verb = verb::diff,
        .name = "diff",
        .arguments = argument_set(argument::file),
        .synopsis = "diff FILE",
        .summary = "compare a document with the configuration in force",
        .help =
            R"(Lists the objects that FILE adds (+), removes (-) or changes (~) compared with the
configuration in force, and names the generation in force.

Examples:
  kumquatpath diff site.json
)"},
    verb_entry{.verb = verb::history,
               .name = "history",
               .arguments = argument_set(argument::last),
               .synopsis = "history [--last COUNT]",
               .summary = "list the generations, newest first",
               .help =
                   R"(Lists each generation with its time, its author and its changes.

  --last COUNT  number of generations to list (default 20)

Examples:
  kumquatpath history
  kumquatpath history --last 5 --json
)"},
    verb_entry{
        .verb = verb::status,
        .name = "status",
        .arguments = argument_set(argument::instances),
        .synopsis = "status [--instance ip:port]...",
        .summary = "show the state and the generation of every instance",
        .help =
            R"(Queries the named instances and every peer that they report. For each instance, shows the
generation in force, the age of its state, its flows and its targets; below them, each
evacuated data centre. Only instances are queried, so the command works while the platform is unavailable. Exits with 1 if an
instance is behind or cannot be reached. The states are:
  ready        the fabric may send it packets
  not ready    it has no configuration or no targets yet, or it is being drained
  leaving      it is shutting down and finishes its work in progress

  --instance ip:port  address at which an instance serves its status and metrics; may be
                      repeated (default $KUMQUATPATH_INSTANCE)

Examples:
  kumquatpath status --instance 127.0.0.1:9102
  kumquatpath status --json
)"},
    verb_entry{
        .verb = verb::metrics,
        .name = "metrics",
        .arguments = argument_set(argument::instances),
        .synopsis = "metrics [--instance ip:port]...",
        .summary = "print the metrics of every instance",
        .help =
            R"(Prints the metrics page of every instance that `kumquatpath status` shows. A line with the
instance's name precedes each page.

  --instance ip:port  address at which an instance serves its status and metrics; may be
                      repeated (default $KUMQUATPATH_INSTANCE)

Examples:
  kumquatpath metrics --instance 127.0.0.1:9102
)"},
};

constexpr std::string_view common_help = R"(
Common options:
  --platform ip:port  the platform's address (default $KUMQUATPATH_PLATFORM)
  --instance ip:port  an instance to query, for status, metrics, drain instance and --wait
  --json              print JSON
  --help              print help, for example: kumquatpath apply --help

Exit codes:
  0  success
  1  refused: the document has faults, or the request cannot be met; from status: an
     instance is behind or cannot be reached
  2  invalid command line, or a file cannot be read
  3  the platform is unavailable; nothing was changed. From check --compare: the document
     could not be compared
  4  conflict: another operator changed the same objects, which are named, or concurrent
     submissions prevented every attempt to publish
  5  outcome unknown: the platform became unreachable during a write
  6  published, but --wait timed out before every reachable instance had it in force
  7  from check --strict: the document is valid, but there are warnings
  8  the store came back from an older copy without the generation that is in force
)";

constexpr std::string_view first_steps = R"(
Getting started. These queries change nothing:
  kumquatpath status               is every instance reachable and up to date?
  kumquatpath metrics              how long do answers take, and what is refused?
  kumquatpath history              who changed what, and when?
To change the configuration:
  kumquatpath show > site.json     get the configuration in force
  kumquatpath check site.json      after editing: is the document valid?
  kumquatpath diff site.json       what would change?
  kumquatpath apply site.json --wait
To undo a change:
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
