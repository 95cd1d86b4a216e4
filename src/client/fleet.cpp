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

constexpr std::size_t max_concurrent_requests = 32;
constexpr unsigned status_ok = 200;
constexpr std::string_view status_path = "/v1/status";

/// Returns the response body of \p path, or an empty string if the request fails or its
/// status is not 200.
std::string fetch_page(const endpoint& instance, std::string_view path,
                       std::chrono::milliseconds timeout)
{
    http_client client(instance);
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(
                response, client.call({.target = std::string(path), .timeout = timeout}));
            return response.status == status_ok ? std::move(response.body)
                                                : std::string();
        },
        [] { return std::string(); });
}

/// Reads \p path from all of \p instances, with up to max_concurrent_requests requests
/// at a time. Returns the bodies in the order of the instances.
std::vector<std::string> fetch_page_from_all(const std::vector<endpoint>& instances,
                                             std::string_view path,
                                             std::chrono::milliseconds timeout)
{
    std::vector<std::string> pages(instances.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(max_concurrent_requests, instances.size()); ++i)
    {
        threads.emplace_back(
            [&]
            {
                for (std::size_t index = next++; index < instances.size(); index = next++)
                {
                    pages[index] = fetch_page(instances[index], path, timeout);
                }
            });
    }
    threads.clear(); // Joins the threads.
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

std::vector<evacuation_report> evacuations_in(const json::object& object)
{
    std::vector<evacuation_report> evacuations;
    const json::value* const list = object.if_contains("evacuations");
    if (list == nullptr || !list->is_array())
    {
        return evacuations;
    }
    for (const json::value& value : list->get_array())
    {
        if (const json::object* const each = value.if_object())
        {
            evacuations.push_back(
                {.data_centre = text_in(*each, "data_centre"),
                 .revision = number_in(*each, "revision"),
                 .age = std::chrono::milliseconds(number_in(*each, "age_ms"))});
        }
    }
    return evacuations;
}

} // namespace

std::optional<instance_report> parse_report(std::string_view page)
{
    json::error_code failure;
    const json::value root =
        json::parse(json::string_view(page.data(), page.size()), failure);
    if (failure || !root.is_object() || !root.get_object().contains("generation"))
    {
        return std::nullopt;
    }
    const json::object& object = root.get_object();
    return instance_report{
        .name = text_in(object, "instance"),
        .data_centre = text_in(object, "data_centre"),
        .generation = {number_in(object, "generation")},
        .state_age = std::chrono::milliseconds(number_in(object, "state_age_ms")),
        .is_ahead_of_store = flag_in(object, "configuration_ahead_of_store"),
        .is_ready = flag_in(object, "ready"),
        .is_leaving = flag_in(object, "leaving"),
        .flows = number_in(object, "flows"),
        .targets = number_in(object, "targets"),
        .suspects = number_in(object, "suspects"),
        .evacuations = evacuations_in(object),
        .peers = endpoints_in(object, "peers")};
}

std::vector<instance_status> query_fleet(const std::vector<endpoint>& seeds,
                                         std::chrono::milliseconds timeout)
{
    std::vector<instance_status> statuses;
    std::set<endpoint> known(seeds.begin(), seeds.end());
    std::vector<endpoint> pending(seeds.begin(), seeds.end());
    while (!pending.empty())
    {
        const auto pages = fetch_page_from_all(pending, status_path, timeout);
        std::vector<endpoint> discovered;
        for (std::size_t i = 0; i < pending.size(); ++i)
        {
            statuses.push_back({.address = pending[i], .report = parse_report(pages[i])});
            const auto& report = statuses.back().report;
            for (const endpoint& peer : report ? report->peers : std::vector<endpoint>())
            {
                if (known.insert(peer).second)
                {
                    discovered.push_back(peer);
                }
            }
        }
        pending = std::move(discovered);
    }
    std::ranges::sort(statuses, {},
                      [](const instance_status& each)
                      { return std::pair(name_of(each), each.address); });
    return statuses;
}

std::vector<std::string> fetch_pages(const std::vector<instance_status>& instances,
                                     std::string_view path,
                                     std::chrono::milliseconds timeout)
{
    std::vector<endpoint> addresses;
    addresses.reserve(instances.size());
    for (const instance_status& each : instances)
    {
        addresses.push_back(each.address);
    }
    return fetch_page_from_all(addresses, path, timeout);
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
        else if (each.report->generation < wanted)
        {
            progress.behind.push_back(name_of(each));
        }
        else if (each.report->is_ahead_of_store)
        {
            progress.not_stored.push_back(name_of(each));
        }
        else
        {
            ++progress.in_force;
        }
    }
    return progress;
}

bool is_complete(const generation_progress& progress)
{
    return progress.in_force > 0 && progress.behind.empty() &&
           progress.not_stored.empty();
}

generation latest_generation(const std::vector<instance_status>& statuses)
{
    generation latest;
    for (const instance_status& each : statuses)
    {
        latest = each.report ? std::max(latest, each.report->generation) : latest;
    }
    return latest;
}

} // namespace kumquatpath
