#include "client/commands.hpp"

#include "client/failure.hpp"
#include "model/edit_distance.hpp"

#include <kumquatpath/model/configuration_check.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

/// Returns the object called \p wanted in \p document, or null.
json::object* find_object(json::value& document, drain_kind kind,
                          const std::string& wanted)
{
    json::object& root = document.get_object();
    const json::string_view name(wanted.data(), wanted.size());
    json::value* found = nullptr;
    if (kind == drain_kind::data_centre)
    {
        found = root.at("data_centres").get_object().if_contains(name);
    }
    else
    {
        for (auto& pool : root.at("pools").get_object())
        {
            json::object& targets = pool.value().get_object().at("targets").get_object();
            json::value* const target = targets.if_contains(name);
            found = target == nullptr ? found : target;
        }
    }
    return found == nullptr ? nullptr : &found->get_object();
}

/// Notes an instance in the document while it is being withdrawn, and only then.
void set_instance_state(json::value& document, const std::string& instance,
                        administrative_state state)
{
    const json::string_view name(instance.data(), instance.size());
    json::value& section = document.get_object()["instances"];
    if (!section.is_object())
    {
        section.emplace_object();
    }
    if (state == administrative_state::active)
    {
        section.get_object().erase(name);
        return;
    }
    section.get_object()[name] = json::object{{"state", "draining"}};
}

/// Returns the name of an object of \p kind that is nearest to \p wanted, or nothing.
std::string nearest_object(const json::value& document, drain_kind kind,
                           const std::string& wanted)
{
    const bool is_target = kind == drain_kind::target;
    std::vector<std::string> names;
    for (const object_change& each : changes_between(json::object(), document))
    {
        const std::string_view section = is_target ? "pools" : "data_centres";
        const std::string& name = is_target ? each.path.target : each.path.name;
        if (each.path.section == section && !name.empty())
        {
            names.push_back(name);
        }
    }
    const std::vector<std::string_view> candidates(names.begin(), names.end());
    return std::string(nearest_name(wanted, candidates));
}

std::string kind_name(drain_kind kind)
{
    switch (kind)
    {
    case drain_kind::target:
        return "target";
    case drain_kind::instance:
        return "instance";
    case drain_kind::data_centre:
        break;
    }
    return "data centre";
}

/// Refuses instances that nobody has heard: a document takes any name there, so a
/// misspelt one would drain nothing.
leaf::result<void> require_known(const state_change& change)
{
    const std::vector<std::string_view> known(change.known_instances.begin(),
                                              change.known_instances.end());
    for (const std::string& name : change.names)
    {
        if (std::ranges::find(known, name) == known.end())
        {
            return leaf::new_error(
                unknown_object{.kind = kind_name(drain_kind::instance),
                               .name = name,
                               .suggestion = std::string(nearest_name(name, known))});
        }
    }
    return {};
}

/// Returns the document that an edit in a file started from.
leaf::result<json::value>
base_document(key_value_store& store, const std::optional<current_configuration>& current,
              std::optional<generation> base, const json::value& edited)
{
    if (base && base->value > 0)
    {
        BOOST_LEAF_AUTO(envelope, read_generation(store, current, *base));
        return std::move(envelope.document);
    }
    // A base of 0 stands for "nothing was in force", as an absent one does at first.
    if (!current || base)
    {
        return json::value(json::object());
    }
    if (edited == current->envelope.document)
    {
        return edited;
    }
    return leaf::new_error(base_required{current->envelope.generation});
}

leaf::result<current_configuration> require_current(key_value_store& store)
{
    BOOST_LEAF_AUTO(current, read_current(store));
    if (!current)
    {
        return leaf::new_error(nothing_in_force{});
    }
    return std::move(*current);
}

} // namespace

leaf::result<submitted_document> read_document(std::string_view text)
{
    BOOST_LEAF_CHECK(check_document(text));
    submitted_document read{json::parse(json::string_view(text.data(), text.size())), {}};
    json::object& root = read.document.get_object();
    if (const json::value* const base = root.if_contains(base_key))
    {
        read.base = generation{base->to_number<std::uint64_t>()};
        root.erase(base_key);
    }
    return read;
}

leaf::result<publication> apply(key_value_store& store, std::string_view text,
                                std::optional<generation> base, const submitter& by)
{
    BOOST_LEAF_AUTO(read, read_document(text));
    BOOST_LEAF_AUTO(current, read_current(store));
    BOOST_LEAF_AUTO(started_from, base_document(store, current, base ? base : read.base,
                                                read.document));
    return publish(store,
                   {.base = std::move(started_from),
                    .edited = std::move(read.document),
                    .submission = by.submission,
                    .author = by.author,
                    .may_cut_flows = by.may_cut_flows,
                    .pause = by.pause},
                   by.now);
}

leaf::result<json::value> with_state(const json::value& document,
                                     const state_change& change)
{
    json::value edited = document;
    for (const std::string& name : change.names)
    {
        if (change.kind == drain_kind::instance)
        {
            set_instance_state(edited, name, change.state);
            continue;
        }
        json::object* const object = find_object(edited, change.kind, name);
        if (object == nullptr)
        {
            return leaf::new_error(unknown_object{
                .kind = kind_name(change.kind),
                .name = name,
                .suggestion = nearest_object(document, change.kind, name)});
        }
        (*object)["state"] =
            change.state == administrative_state::active ? "active" : "draining";
    }
    return edited;
}

leaf::result<publication> change_state(key_value_store& store, const state_change& change,
                                       const submitter& by)
{
    if (change.kind == drain_kind::instance &&
        change.state == administrative_state::draining)
    {
        BOOST_LEAF_CHECK(require_known(change));
    }
    BOOST_LEAF_AUTO(current, require_current(store));
    BOOST_LEAF_AUTO(edited, with_state(current.envelope.document, change));
    return publish(store,
                   {.base = std::move(current.envelope.document),
                    .edited = std::move(edited),
                    .submission = by.submission,
                    .author = by.author,
                    .may_cut_flows = by.may_cut_flows,
                    .pause = by.pause},
                   by.now);
}

leaf::result<publication> roll_back(key_value_store& store, generation wanted,
                                    const submitter& by)
{
    BOOST_LEAF_AUTO(current, require_current(store));
    BOOST_LEAF_AUTO(earlier, read_generation(store, current, wanted));
    return publish(store,
                   {.base = std::move(current.envelope.document),
                    .edited = std::move(earlier.document),
                    .submission = by.submission,
                    .author = by.author,
                    .may_cut_flows = by.may_cut_flows,
                    .pause = by.pause},
                   by.now);
}

} // namespace kumquatpath
