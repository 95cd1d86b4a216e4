#include "client/fleet.hpp"

#include <kumquatpath/edge/http_client.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t most_askers = 32;
constexpr unsigned status_ok = 200;
constexpr std::string_view status_path = "/v1/status";

std::string ask(const endpoint& instance, std::string_view path,
                std::chrono::milliseconds timeout)
{
    http_client client(instance);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(
                answer, client.call({.target = std::string(path), .timeout = timeout}));
            return answer.status == status_ok ? std::move(answer.body) : std::string();
        },
        [] { return std::string(); });
}

/// Asks all of \p instances for \p path, several at a time.
std::vector<std::string> ask_all(const std::vector<endpoint>& instances,
                                 std::string_view path, std::chrono::milliseconds timeout)
{
    std::vector<std::string> pages(instances.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> askers;
    for (std::size_t i = 0; i < std::min(most_askers, instances.size()); ++i)
    {
        askers.emplace_back(
            [&]
            {
                for (std::size_t at = next++; at < instances.size(); at = next++)
                {
                    pages[at] = ask(instances[at], path, timeout);
                }
            });
    }
    askers.clear();
    return pages;
}

std::string text_in(const json::object& object, std::string_view key)
{
    const json::value* const value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

bool flag_in(const json::object& object, std::string_view key)
{
    const json::value* const value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::uint64_t number_in(const json::object& object, std::string_view key)
{
    const json::value* const value = object.if_contains(key);
    json::error_code failure;
    return value == nullptr ? 0 : value->to_number<std::uint64_t>(failure);
}

std::vector<endpoint> endpoints_in(const json::object& object, std::string_view key)
{
    std::vector<endpoint> endpoints;
    const json::value* const list = object.if_contains(key);
    if (list == nullptr || !list->is_array())
    {
        return endpoints;
    }
    for (const json::value& each : list->get_array())
    {
        auto parsed = parse_endpoint(each.is_string() ? std::string(each.get_string())
                                                      : std::string());
        if (parsed)
        {
            endpoints.push_back(*parsed);
        }
    }
    return endpoints;
}

} // namespace

std::optional<instance_report> read_report(std::string_view page)
{
    json::error_code failure;
    const json::value whole =
        json::parse(json::string_view(page.data(), page.size()), failure);
    if (failure || !whole.is_object() || !whole.get_object().contains("generation"))
    {
        return std::nullopt;
    }
    const json::object& object = whole.get_object();
    return instance_report{
        .name = text_in(object, "instance"),
        .data_centre = text_in(object, "data_centre"),
        .generation = {number_in(object, "generation")},
        .state_age = std::chrono::milliseconds(number_in(object, "state_age_ms")),
        .is_ready = flag_in(object, "ready"),
        .is_leaving = flag_in(object, "leaving"),
        .flows = number_in(object, "flows"),
        .targets = number_in(object, "targets"),
        .suspects = number_in(object, "suspects"),
        .peers = endpoints_in(object, "peers")};
}

std::vector<instance_status> ask_fleet(const std::vector<endpoint>& first,
                                       std::chrono::milliseconds timeout)
{
    std::vector<instance_status> statuses;
    std::set<endpoint> known(first.begin(), first.end());
    std::vector<endpoint> wanted(first.begin(), first.end());
    while (!wanted.empty())
    {
        const auto pages = ask_all(wanted, status_path, timeout);
        std::vector<endpoint> found;
        for (std::size_t i = 0; i < wanted.size(); ++i)
        {
            statuses.push_back({.address = wanted[i], .report = read_report(pages[i])});
            const auto& report = statuses.back().report;
            for (const endpoint& peer : report ? report->peers : std::vector<endpoint>())
            {
                if (known.insert(peer).second)
                {
                    found.push_back(peer);
                }
            }
        }
        wanted = std::move(found);
    }
    std::ranges::sort(statuses, {},
                      [](const instance_status& each)
                      { return std::pair(name_of(each), each.address); });
    return statuses;
}

std::vector<std::string> ask_pages(const std::vector<instance_status>& instances,
                                   std::string_view path,
                                   std::chrono::milliseconds timeout)
{
    std::vector<endpoint> addresses;
    addresses.reserve(instances.size());
    for (const instance_status& each : instances)
    {
        addresses.push_back(each.address);
    }
    return ask_all(addresses, path, timeout);
}

std::string name_of(const instance_status& status)
{
    return status.report ? status.report->name : to_string(status.address);
}

generation_progress progress_of(const std::vector<instance_status>& statuses,
                                generation wanted)
{
    generation_progress progress;
    for (const instance_status& each : statuses)
    {
        if (!each.report)
        {
            progress.unreachable.push_back(name_of(each));
        }
        else if (each.report->generation >= wanted)
        {
            ++progress.in_force;
        }
        else
        {
            progress.behind.push_back(name_of(each));
        }
    }
    return progress;
}

bool is_complete(const generation_progress& progress)
{
    return progress.in_force > 0 && progress.behind.empty();
}

generation latest_of(const std::vector<instance_status>& statuses)
{
    generation latest;
    for (const instance_status& each : statuses)
    {
        latest = each.report ? std::max(latest, each.report->generation) : latest;
    }
    return latest;
}

} // namespace kumquatpath
