#include "model/json_pointer.hpp"

#include <kumquatpath/model/document_difference.hpp>

#include <boost/json/object.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

constexpr std::string_view pools_section = "pools";
constexpr std::string_view targets_key = "targets";
constexpr std::array<std::string_view, 7> sections = {
    "data_centres", "pools", "services", "listeners", "tenants", "classes", "instances"};

using object_map = std::map<object_path, const json::value*>;

std::string text_of(json::string_view text)
{
    return {text.data(), text.size()};
}

json::string_view to_json_view(std::string_view text)
{
    return {text.data(), text.size()};
}

const json::object* object_at(const json::value& parent, std::string_view key)
{
    const json::object* const object = parent.if_object();
    const json::value* const member =
        object == nullptr ? nullptr : object->if_contains(to_json_view(key));
    return member == nullptr ? nullptr : member->if_object();
}

void add_targets(object_map& objects, const object_path& pool, const json::value& value)
{
    const json::object* const targets = object_at(value, targets_key);
    if (targets == nullptr)
    {
        return;
    }
    for (const auto& target : *targets)
    {
        objects[{pool.section, pool.name, text_of(target.key())}] = &target.value();
    }
}

/// Returns the named objects of \p document. The value of a pool is null, because a pool
/// has nothing but targets, and each target has its own path.
object_map objects_of(const json::value& document)
{
    object_map objects;
    for (const std::string_view section : sections)
    {
        const json::object* const members = object_at(document, section);
        if (members == nullptr)
        {
            continue;
        }
        for (const auto& member : *members)
        {
            const object_path path{std::string(section), text_of(member.key()), ""};
            if (section != pools_section)
            {
                objects[path] = &member.value();
                continue;
            }
            objects[path] = nullptr;
            add_targets(objects, path, member.value());
        }
    }
    return objects;
}

bool are_equal(const json::value* first, const json::value* second)
{
    if (first == nullptr || second == nullptr)
    {
        return first == second;
    }
    return *first == *second;
}

json::value copy_of(const json::value* value)
{
    return value == nullptr ? json::value() : *value;
}

/// Returns the object that contains the last key of \p path in \p document, or null if
/// the pool of a target does not exist. Adds the section if \p document does not have it.
json::object* parent_of(json::value& document, const object_path& path)
{
    json::object& root = document.get_object();
    json::value& section = root[to_json_view(path.section)];
    if (!section.is_object())
    {
        section.emplace_object();
    }
    if (path.target.empty())
    {
        return &section.get_object();
    }
    json::value* const pool = section.get_object().if_contains(to_json_view(path.name));
    if (pool == nullptr)
    {
        return nullptr;
    }
    return &pool->get_object()[to_json_view(targets_key)].get_object();
}

/// Removes the object at \p path, if there is one. Returns false if it is a pool that
/// still contains targets.
bool remove_object(json::value& document, const object_path& path)
{
    json::object* const parent = parent_of(document, path);
    if (parent == nullptr)
    {
        return true;
    }
    const std::string_view key = path.target.empty() ? path.name : path.target;
    const json::value* const existing = parent->if_contains(to_json_view(key));
    if (existing == nullptr)
    {
        return true;
    }
    const json::object* const targets = object_at(*existing, targets_key);
    const bool is_pool = path.section == pools_section && path.target.empty();
    if (is_pool && targets != nullptr && !targets->empty())
    {
        return false;
    }
    parent->erase(to_json_view(key));
    return true;
}

/// Adds or replaces the object at \p path; an existing pool is left as it is. Returns
/// false for a target whose pool does not exist.
bool set_object(json::value& document, const object_path& path, const json::value& value)
{
    json::object* const parent = parent_of(document, path);
    if (parent == nullptr)
    {
        return false;
    }
    const bool is_pool = path.section == pools_section && path.target.empty();
    if (is_pool)
    {
        parent->emplace(to_json_view(path.name),
                        json::object{{"targets", json::object()}});
        return true;
    }
    (*parent)[to_json_view(path.target.empty() ? path.name : path.target)] = value;
    return true;
}

} // namespace

std::string to_pointer(const object_path& path)
{
    std::string pointer = child_pointer(child_pointer("", path.section), path.name);
    if (!path.target.empty())
    {
        pointer = child_pointer(child_pointer(pointer, targets_key), path.target);
    }
    return pointer;
}

std::string_view to_string(change_kind kind) noexcept
{
    switch (kind)
    {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        break;
    }
    return "changed";
}

std::vector<object_change> changes_between(const json::value& before,
                                           const json::value& after)
{
    const object_map old_objects = objects_of(before);
    const object_map new_objects = objects_of(after);
    std::map<object_path, object_change> changes;
    for (const auto& [path, value] : old_objects)
    {
        const auto found = new_objects.find(path);
        if (found == new_objects.end())
        {
            changes[path] = {change_kind::removed, path, copy_of(value), nullptr};
        }
        else if (!are_equal(value, found->second))
        {
            changes[path] = {change_kind::changed, path, copy_of(value),
                             copy_of(found->second)};
        }
    }
    for (const auto& [path, value] : new_objects)
    {
        if (!old_objects.contains(path))
        {
            changes[path] = {change_kind::added, path, nullptr, copy_of(value)};
        }
    }
    std::vector<object_change> list;
    list.reserve(changes.size());
    for (auto& [path, change] : changes)
    {
        list.push_back(std::move(change));
    }
    return list;
}

boost::leaf::result<json::value> merge_documents(const json::value& base,
                                                 const json::value& ours,
                                                 const json::value& theirs)
{
    std::map<object_path, object_change> their_changes;
    for (object_change& each : changes_between(base, theirs))
    {
        const object_path path = each.path;
        their_changes[path] = std::move(each);
    }
    json::value merged = theirs;
    if (!merged.is_object())
    {
        merged.emplace_object();
    }
    merge_conflict conflict;
    std::vector<object_change> our_changes = changes_between(base, ours);
    // A pool must be added before its targets and removed after them. In ascending order
    // of path a pool precedes its targets, so additions run in this order and removals in
    // reverse.
    const auto merge = [&](const object_change& each)
    {
        const auto their_change = their_changes.find(each.path);
        const bool is_shared = their_change != their_changes.end();
        const bool is_same_change = is_shared && their_change->second.kind == each.kind &&
                                    their_change->second.after == each.after;
        const bool is_applied = each.kind == change_kind::removed
                                    ? remove_object(merged, each.path)
                                    : set_object(merged, each.path, each.after);
        if ((is_shared && !is_same_change) || !is_applied)
        {
            conflict.objects.push_back(each.path);
        }
    };
    for (const object_change& each : our_changes)
    {
        if (each.kind != change_kind::removed)
        {
            merge(each);
        }
    }
    std::reverse(our_changes.begin(), our_changes.end());
    for (const object_change& each : our_changes)
    {
        if (each.kind == change_kind::removed)
        {
            merge(each);
        }
    }
    if (!conflict.objects.empty())
    {
        return boost::leaf::new_error(std::move(conflict));
    }
    return merged;
}

} // namespace kumquatpath
