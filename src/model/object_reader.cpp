#include "model/object_reader.hpp"

#include "model/edit_distance.hpp"
#include "model/json_pointer.hpp"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
using fault_kind = configuration_fault_kind;

std::string_view as_view(const json::string& text)
{
    return {text.data(), text.size()};
}

std::string_view as_view(json::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::string_view type_name(const json::value& value)
{
    switch (value.kind())
    {
    case json::kind::null:
        return "null";
    case json::kind::bool_:
        return "a boolean";
    case json::kind::int64:
    case json::kind::uint64:
    case json::kind::double_:
        return "a number";
    case json::kind::string:
        return "a string";
    case json::kind::array:
        return "an array";
    case json::kind::object:
        break;
    }
    return "an object";
}

object_reader::object_reader(const json::value& value, std::string pointer,
                             std::span<const std::string_view> known_keys,
                             fault_list& faults)
    : pointer_(std::move(pointer)), object_(value.if_object()), faults_(&faults)
{
    if (object_ == nullptr)
    {
        faults_->push_back({.kind = fault_kind::wrong_type,
                            .pointer = pointer_,
                            .name = std::string(type_name(value)),
                            .expected = "an object"});
        return;
    }
    for (const auto& member : *object_)
    {
        const std::string_view key = as_view(member.key());
        if (std::ranges::find(known_keys, key) == known_keys.end())
        {
            faults_->push_back({.kind = fault_kind::unknown_key,
                                .pointer = pointer_of(key),
                                .name = std::string(key),
                                .expected = std::string(nearest_name(key, known_keys))});
        }
    }
}

std::string object_reader::pointer_of(std::string_view key) const
{
    return child_pointer(pointer_, key);
}

const json::value* object_reader::find(std::string_view key) const
{
    return object_ == nullptr ? nullptr : object_->if_contains({key.data(), key.size()});
}

const json::value* object_reader::find_required(std::string_view key,
                                                std::string_view expected)
{
    const json::value* const found = find(key);
    if (found == nullptr && object_ != nullptr)
    {
        faults_->push_back({.kind = fault_kind::missing_key,
                            .pointer = pointer_,
                            .name = std::string(key),
                            .expected = std::string(expected)});
    }
    return found;
}

std::optional<std::string_view> object_reader::read_string(std::string_view key,
                                                           const json::value& value)
{
    if (const json::string* const found = value.if_string())
    {
        return as_view(*found);
    }
    faults_->push_back({.kind = fault_kind::wrong_type,
                        .pointer = pointer_of(key),
                        .name = std::string(type_name(value)),
                        .expected = "a string"});
    return std::nullopt;
}

std::string object_reader::required_string(std::string_view key)
{
    const json::value* const value = find_required(key, "a string");
    return value == nullptr ? std::string()
                            : std::string(read_string(key, *value).value_or(""));
}

std::uint64_t object_reader::number(std::string_view key, const number_rule& rule)
{
    const json::value* const value =
        rule.fallback ? find(key) : find_required(key, "a number");
    const std::uint64_t default_value = rule.fallback.value_or(rule.minimum);
    if (value == nullptr)
    {
        return default_value;
    }
    if (!value->is_number())
    {
        faults_->push_back({.kind = fault_kind::wrong_type,
                            .pointer = pointer_of(key),
                            .name = std::string(type_name(*value)),
                            .expected = "a whole number"});
        return default_value;
    }
    json::error_code error;
    const auto parsed = value->to_number<std::uint64_t>(error);
    if (error || parsed < rule.minimum || parsed > rule.maximum)
    {
        faults_->push_back({.kind = fault_kind::out_of_range,
                            .pointer = pointer_of(key),
                            .name = json::serialize(*value),
                            .minimum = rule.minimum,
                            .maximum = rule.maximum});
        return default_value;
    }
    return parsed;
}

bool object_reader::flag(std::string_view key, bool fallback)
{
    const json::value* const value = find(key);
    if (value == nullptr)
    {
        return fallback;
    }
    if (const bool* const found = value->if_bool())
    {
        return *found;
    }
    faults_->push_back({.kind = fault_kind::wrong_type,
                        .pointer = pointer_of(key),
                        .name = std::string(type_name(*value)),
                        .expected = "true or false"});
    return fallback;
}

endpoint object_reader::required_address(std::string_view key)
{
    const json::value* const value = find_required(key, R"("127.0.0.1:9000")");
    const auto address_text = value == nullptr ? std::nullopt : read_string(key, *value);
    if (!address_text)
    {
        return {};
    }
    return boost::leaf::try_handle_all([&] { return parse_endpoint(*address_text); },
                                       [&]
                                       {
                                           faults_->push_back(
                                               {.kind = fault_kind::malformed_address,
                                                .pointer = pointer_of(key),
                                                .name = std::string(*address_text)});
                                           return endpoint{};
                                       });
}

administrative_state object_reader::state()
{
    const json::value* const value = find("state");
    const auto word = value == nullptr ? "active" : read_string("state", *value);
    if (word && *word == "draining")
    {
        return administrative_state::draining;
    }
    if (word && *word != "active")
    {
        faults_->push_back({.kind = fault_kind::unknown_word,
                            .pointer = pointer_of("state"),
                            .name = std::string(*word),
                            .expected = R"("active" or "draining")"});
    }
    return administrative_state::active;
}

listener_kind object_reader::kind()
{
    constexpr std::string_view words = R"("datagram" or "stream")";
    const json::value* const value = find_required("kind", words);
    const auto word = value == nullptr ? "datagram" : read_string("kind", *value);
    if (!word || *word == "datagram")
    {
        return listener_kind::datagram;
    }
    if (*word != "stream")
    {
        faults_->push_back({.kind = fault_kind::unknown_word,
                            .pointer = pointer_of("kind"),
                            .name = std::string(*word),
                            .expected = std::string(words)});
    }
    return listener_kind::stream;
}

const json::object* object_reader::object(std::string_view key, bool required)
{
    const json::value* const value = required ? find_required(key, "{}") : find(key);
    if (value == nullptr || value->is_object())
    {
        return value == nullptr ? nullptr : &value->get_object();
    }
    faults_->push_back({.kind = fault_kind::wrong_type,
                        .pointer = pointer_of(key),
                        .name = std::string(type_name(*value)),
                        .expected = "an object"});
    return nullptr;
}

} // namespace kumquatpath
