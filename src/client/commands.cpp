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

/// Returns the data centre or target named \p wanted in \p document, or null.
json::object* find_object(json::value& document, drainable_kind kind,
                          const std::string& wanted)
{
    json::object& root = document.get_object();
    const json::string_view name(wanted.data(), wanted.size());
    json::value* found = nullptr;
    if (kind == drainable_kind::data_centre)
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

/// Adds \p instance to the document's instances as draining, or removes it from them if
/// it is to be active.
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

/// Returns the name of the target or data centre that is most similar to \p wanted, or an
/// empty string if none is similar.
std::string nearest_object_name(const json::value& document, drainable_kind kind,
                                const std::string& wanted)
{
    const bool is_target = kind == drainable_kind::target;
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

std::string kind_name(drainable_kind kind)
{
    switch (kind)
    {
    case drainable_kind::target:
        return "target";
    case drainable_kind::instance:
        return "instance";
    case drainable_kind::data_centre:
        break;
    }
    return "data centre";
}

/// Fails with unknown_object if an instance in \p change is not among the known ones. The
/// document accepts any instance name, so a misspelt one would be published and drain
/// nothing.
leaf::result<void> require_known_instances(const state_change& change)
{
    const std::vector<std::string_view> known(change.known_instances.begin(),
                                              change.known_instances.end());
    for (const std::string& name : change.names)
    {
        if (std::ranges::find(known, name) == known.end())
        {
            return leaf::new_error(
                unknown_object{.kind = kind_name(drainable_kind::instance),
                               .name = name,
                               .suggestion = std::string(nearest_name(name, known))});
        }
    }
    return {};
}

/// Returns the document that \p edited was derived from. Fails with base_required if the
/// base is needed but not given, and with unknown_generation if the base is neither in
/// force nor in the history.
leaf::result<json::value>
base_document(key_value_store& store, const std::optional<current_configuration>& current,
              std::optional<generation> base, const json::value& edited)
{
    if (base && base->value > 0)
    {
        BOOST_LEAF_AUTO(envelope, read_generation(store, current, *base));
        return std::move(envelope.document);
    }
    // A base of 0 means that the edit started when no configuration was in force. An
    // absent base means the same as long as none is in force.
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
    BOOST_LEAF_AUTO(checked, check_document(text));
    submitted_document submitted{
        .document = json::parse(json::string_view(text.data(), text.size())),
        .checked_configuration = std::move(checked)};
    json::object& root = submitted.document.get_object();
    if (const json::value* const base = root.if_contains(base_key))
    {
        submitted.base = generation{base->to_number<std::uint64_t>()};
        root.erase(base_key);
    }
    return submitted;
}

leaf::result<publication> apply(key_value_store& store, std::string_view text,
                                std::optional<generation> base,
                                const submission_context& context)
{
    BOOST_LEAF_AUTO(submitted, read_document(text));
    BOOST_LEAF_AUTO(current, read_current(store));
    BOOST_LEAF_AUTO(edit_base, base_document(store, current, base ? base : submitted.base,
                                             submitted.document));
    return publish(store,
                   {.base = std::move(edit_base),
                    .edited = std::move(submitted.document),
                    .submission = context.submission,
                    .author = context.author,
                    .may_cut_flows = context.may_cut_flows,
                    .pause = context.pause},
                   context.now);
}

leaf::result<json::value> with_state(const json::value& document,
                                     const state_change& change)
{
    json::value edited = document;
    for (const std::string& name : change.names)
    {
        if (change.kind == drainable_kind::instance)
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
                .suggestion = nearest_object_name(document, change.kind, name)});
        }
        (*object)["state"] =
            change.state == administrative_state::active ? "active" : "draining";
    }
    return edited;
}

leaf::result<publication> change_state(key_value_store& store, const state_change& change,
                                       const submission_context& context)
{
    if (change.kind == drainable_kind::instance &&
        change.state == administrative_state::draining)
    {
        BOOST_LEAF_CHECK(require_known_instances(change));
    }
    BOOST_LEAF_AUTO(current, require_current(store));
    BOOST_LEAF_AUTO(edited, with_state(current.envelope.document, change));
    return publish(store,
                   {.base = std::move(current.envelope.document),
                    .edited = std::move(edited),
                    .submission = context.submission,
                    .author = context.author,
                    .may_cut_flows = context.may_cut_flows,
                    .pause = context.pause},
                   context.now);
}

leaf::result<publication> roll_back(key_value_store& store, generation wanted,
                                    const submission_context& context)
{
    BOOST_LEAF_AUTO(current, require_current(store));
    BOOST_LEAF_AUTO(earlier, read_generation(store, current, wanted));
    return publish(store,
                   {.base = std::move(current.envelope.document),
                    .edited = std::move(earlier.document),
                    .submission = context.submission,
                    .author = context.author,
                    .may_cut_flows = context.may_cut_flows,
                    .pause = context.pause},
                   context.now);
}

} // namespace kumquatpath
