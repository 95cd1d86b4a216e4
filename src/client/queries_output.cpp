/// \file
/// Prints the results of show, diff and history, as text or as JSON.

#include "client/document_text.hpp"
#include "client/queries.hpp"
#include "client/wall_clock.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <ostream>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

/// How many changes the text of a history lists for each generation.
constexpr std::size_t max_listed_changes = 3;

char sign_of(change_kind kind)
{
    switch (kind)
    {
    case change_kind::added:
        return '+';
    case change_kind::removed:
        return '-';
    case change_kind::changed:
        break;
    }
    return '~';
}

json::array to_json(const std::vector<object_change>& changes)
{
    json::array list;
    for (const object_change& each : changes)
    {
        list.push_back(json::object{{"change", to_string(each.kind)},
                                    {"pointer", to_pointer(each.path)},
                                    {"before", each.before},
                                    {"after", each.after}});
    }
    return list;
}

/// Prints the members that differ between the two values of an object, each with its
/// value before and after.
void print_members(std::ostream& out, const object_change& change)
{
    const json::object* const before = change.before.if_object();
    const json::object* const after = change.after.if_object();
    if (before == nullptr || after == nullptr)
    {
        return;
    }
    const auto text_in = [](const json::object& object, json::string_view key)
    {
        const json::value* const value = object.if_contains(key);
        return value == nullptr ? std::string("(absent)") : json::serialize(*value);
    };
    json::object keys = *before;
    for (const auto& member : *after)
    {
        keys[member.key()] = nullptr;
    }
    for (const auto& member : keys)
    {
        const std::string old_text = text_in(*before, member.key());
        const std::string new_text = text_in(*after, member.key());
        if (old_text != new_text)
        {
            out << "      " << std::string(member.key()) << ": " << old_text << " -> "
                << new_text << '\n';
        }
    }
}

void print_summary(std::ostream& out,
                   const std::optional<std::vector<object_change>>& changes)
{
    if (!changes)
    {
        out << "    (changes unknown: the previous generation is no longer in the "
               "history)\n";
        return;
    }
    std::size_t listed = 0;
    for (const object_change& each : *changes)
    {
        if (++listed > max_listed_changes)
        {
            out << "    and " << changes->size() - max_listed_changes << " more\n";
            return;
        }
        out << "    " << sign_of(each.kind) << ' ' << to_pointer(each.path) << '\n';
    }
}

} // namespace

void print_show(std::ostream& out, const configuration_envelope& envelope, bool as_json)
{
    if (!as_json)
    {
        out << to_text(editable_document(envelope));
        return;
    }
    out << json::serialize(json::object{
               {"generation", envelope.generation.value},
               {"submission", envelope.submission},
               {"author", envelope.author},
               {"submitted_at_ms", envelope.submitted_at.time_since_epoch().count()},
               {"document", envelope.document}})
        << '\n';
}

json::object to_json(const document_diff& difference)
{
    return {{"generation", difference.in_force.value},
            {"changes", to_json(difference.changes)}};
}

void print_diff(std::ostream& out, const document_diff& difference, bool as_json)
{
    if (as_json)
    {
        out << json::serialize(to_json(difference)) << '\n';
        return;
    }
    out << (difference.in_force.value == 0
                ? std::string("No configuration is in force yet.")
                : "Against generation " + std::to_string(difference.in_force.value) +
                      ", which is in force:")
        << '\n';
    for (const object_change& each : difference.changes)
    {
        out << "  " << sign_of(each.kind) << ' ' << to_pointer(each.path) << '\n';
        print_members(out, each);
    }
    out << (difference.changes.empty()
                ? std::string("no difference")
                : std::to_string(difference.changes.size()) + " objects")
        << '\n';
}

void print_history(std::ostream& out, const std::vector<history_entry>& entries,
                   bool as_json)
{
    json::array list;
    for (const history_entry& each : entries)
    {
        if (as_json)
        {
            list.push_back(json::object{
                {"generation", each.generation.value},
                {"submitted_at_ms", each.submitted_at.time_since_epoch().count()},
                {"author", each.author},
                {"submission", each.submission},
                {"changes",
                 each.changes ? json::value(to_json(*each.changes)) : json::value()}});
            continue;
        }
        out << "generation " << each.generation.value << "  "
            << to_utc_text(each.submitted_at) << "  "
            << (each.author.empty() ? "(no author)" : each.author) << "  submission "
            << each.submission << '\n';
        print_summary(out, each.changes);
    }
    if (as_json)
    {
        out << json::serialize(json::object{{"generations", std::move(list)}}) << '\n';
    }
}

} // namespace kumquatpath
