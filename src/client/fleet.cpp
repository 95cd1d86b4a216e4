#include "client/fleet.hpp"

#include <kumquatpath/edge/http_client.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t most_askers = 32;
constexpr unsigned status_ok = 200;

std::optional<json::value> ask(const platform_instance& instance, std::string_view path,
                               std::chrono::milliseconds timeout)
{
    using body = std::optional<json::value>;
    http_client client(instance.operator_address);
    return leaf::try_handle_all(
        [&]() -> leaf::result<body>
        {
            BOOST_LEAF_AUTO(
                answer, client.call({.target = std::string(path), .timeout = timeout}));
            json::error_code error;
            json::value read = json::parse(answer.body, error);
            return error || answer.status != status_ok ? body() : body(std::move(read));
        },
        [] { return body(); });
}

std::string text_in(const json::value& whole, std::string_view key)
{
    const json::object* const object = whole.if_object();
    const json::value* const value =
        object == nullptr ? nullptr : object->if_contains({key.data(), key.size()});
    if (value == nullptr || !value->is_string())
    {
        return "";
    }
    return {value->get_string().data(), value->get_string().size()};
}

bool flag_in(const json::object& object, json::string_view key, bool fallback)
{
    const json::value* const value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

json::array array_in(const json::object& object, json::string_view key)
{
    const json::value* const value = object.if_contains(key);
    return value != nullptr && value->is_array() ? value->get_array() : json::array();
}

/// The names of instances by the text that stands for an id in their answers.
using id_names = std::map<std::string, std::string, std::less<>>;

/// An instance knows others by id only; the platform's list knows their names.
id_names names_of(const std::vector<instance_answer>& answers)
{
    id_names names;
    for (const instance_answer& each : answers)
    {
        const std::string& name = each.instance.name;
        names['#' + std::to_string(id_of<instance_id>(name).value)] = name;
    }
    return names;
}

std::optional<generation> generation_in(const json::object& object, json::string_view key)
{
    const json::value* const value = object.if_contains(key);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(generation{number});
}

std::optional<instance_report> read_report(const json::value& body, const id_names& names)
{
    const json::object* const object = body.if_object();
    const auto accepted =
        object == nullptr ? std::nullopt : generation_in(*object, "generation");
    const auto switched =
        object == nullptr ? std::nullopt : generation_in(*object, "switched");
    if (!accepted || !switched)
    {
        return std::nullopt;
    }
    instance_report report{.generation = *accepted,
                           .switched = *switched,
                           .is_leaving = flag_in(*object, "leaving", false),
                           .may_claim = flag_in(*object, "claims", true)};
    for (const json::value& each : array_in(*object, "members"))
    {
        const std::string instance = text_in(each, "instance");
        const auto name = names.find(instance);
        report.members.push_back(
            {name == names.end() ? instance : name->second, text_in(each, "state")});
    }
    for (const json::value& each : array_in(*object, "drains"))
    {
        report.drains.push_back(
            {text_in(each, "kind"), text_in(each, "name"), text_in(each, "waits_for")});
    }
    return report;
}

} // namespace

std::vector<instance_answer> ask_instances(const std::vector<platform_instance>& list,
                                           std::string_view path,
                                           std::chrono::milliseconds timeout)
{
    std::vector<instance_answer> answers(list.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&]
    {
        for (std::size_t i = next++; i < list.size(); i = next++)
        {
            answers[i] = {list[i], ask(list[i], path, timeout)};
        }
    };
    std::vector<std::jthread> askers;
    for (std::size_t i = 0; i < std::min(list.size(), most_askers); ++i)
    {
        askers.emplace_back(work);
    }
    askers.clear();
    return answers;
}

std::vector<instance_status> read_statuses(const std::vector<instance_answer>& answers)
{
    const id_names names = names_of(answers);
    std::vector<instance_status> statuses;
    statuses.reserve(answers.size());
    for (const instance_answer& each : answers)
    {
        statuses.push_back(
            {each.instance, each.body ? read_report(*each.body, names) : std::nullopt});
    }
    return statuses;
}

generation_progress progress_of(const std::vector<instance_status>& statuses,
                                generation wanted)
{
    generation_progress progress;
    for (const instance_status& each : statuses)
    {
        if (!each.report)
        {
            progress.unreachable.push_back(each.instance.name);
        }
        else if (each.report->switched >= wanted)
        {
            ++progress.in_force;
        }
        else
        {
            progress.behind.push_back(each.instance.name);
        }
    }
    return progress;
}

generation latest_of(const std::vector<instance_status>& statuses)
{
    generation latest;
    for (const instance_status& each : statuses)
    {
        latest = std::max(latest, each.report ? each.report->generation : generation{});
    }
    return latest;
}

bool is_complete(const generation_progress& progress)
{
    return progress.in_force > 0 && progress.behind.empty();
}

} // namespace kumquatpath
