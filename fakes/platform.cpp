#include "platform.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <support/settings.hpp>

#include <algorithm>

namespace kumquatpath::fakes
{
namespace
{

using boost::asio::awaitable;
using boost::beast::http::verb;
using std::chrono::milliseconds;

constexpr milliseconds lease_check_interval{20};
constexpr std::string_view key_path = "/v1/kv/";
constexpr std::string_view lease_path = "/v1/leases/";
constexpr std::string_view instance_path = "/v1/instances/";

bool take_call(call_budget& budget, time_point now)
{
    const std::chrono::duration<double> passed = now - budget.filled_at;
    budget.tokens = std::min(budget.rate, budget.tokens + passed.count() * budget.rate);
    budget.filled_at = now;
    if (budget.tokens < 1)
    {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

bool starts_with(const http_request& request, std::string_view prefix)
{
    return request.path.starts_with(prefix);
}

std::string rest_of(const http_request& request, std::string_view prefix)
{
    return request.path.substr(prefix.size());
}

void wake_watches(platform& held)
{
    for (auto& timer : held.watches)
    {
        timer.cancel();
    }
}

http_reply not_found()
{
    return {.status = 404, .body = {{"error", "not found"}}};
}

http_reply reply_to_write(platform& held, const write_result& result)
{
    wake_watches(held);
    if (result.done || result.revision != 0)
    {
        return {.status = result.done ? 200U : 409U,
                .body = {{"revision", result.revision}}};
    }
    return {.status = 409, .body = {{"revision", 0}}};
}

std::optional<std::uint64_t> expected_revision(const boost::json::object& body)
{
    const auto* const found = body.if_contains("expected_revision");
    if (found == nullptr)
    {
        return std::nullopt;
    }
    return found->to_number<std::uint64_t>();
}

boost::json::object entry(const std::string& key, const stored_value& stored)
{
    return {{"key", key}, {"value", stored.value}, {"revision", stored.revision}};
}

http_reply list_keys(const platform& held, const std::string& prefix)
{
    boost::json::array entries;
    for (auto each = held.store.values.lower_bound(prefix);
         each != held.store.values.end() && each->first.starts_with(prefix); ++each)
    {
        entries.push_back(entry(each->first, each->second));
    }
    return {.body = {{"entries", std::move(entries)}}};
}

/// Answers as soon as the key has a revision above the one named, or with 304.
awaitable<http_reply> watch_key(platform& held, const http_request& request)
{
    const std::string key = rest_of(request, key_path);
    const std::uint64_t known = request.number("newer_than", 0);
    const time_point end = present_time() + milliseconds(request.number("wait_ms", 0));
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto timer = held.watches.emplace(held.watches.end(), executor);
    http_reply reply{.status = 304};
    while (true)
    {
        const stored_value* const found = find_value(held.store, key);
        if (found != nullptr && found->revision > known)
        {
            reply = {.body = entry(key, *found)};
            break;
        }
        if (present_time() >= end)
        {
            break;
        }
        timer->expires_after(end - present_time());
        boost::system::error_code woken;
        co_await timer->async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
    held.watches.erase(timer);
    co_return reply;
}

http_reply put_key(platform& held, const http_request& request)
{
    const auto body = boost::json::parse(request.body).as_object();
    stored_value value{.value = boost::json::value_to<std::string>(body.at("value"))};
    if (value.value.size() > longest_value)
    {
        return {.status = 413, .body = {{"error", "value over 1 MB"}}};
    }
    if (const auto* const lease = body.if_contains("lease"))
    {
        value.lease = lease->to_number<std::uint64_t>();
        if (!held.store.leases.contains(value.lease))
        {
            return not_found();
        }
    }
    return reply_to_write(held, put_value(held.store, rest_of(request, key_path),
                                          std::move(value), expected_revision(body)));
}

http_reply delete_key(platform& held, const http_request& request)
{
    std::optional<std::uint64_t> expected;
    if (request.query.contains("expected_revision"))
    {
        expected = request.number("expected_revision", 0);
    }
    const std::string key = rest_of(request, key_path);
    if (find_value(held.store, key) == nullptr)
    {
        return not_found();
    }
    return reply_to_write(held, delete_value(held.store, key, expected));
}

http_reply answer_lease(platform& held, const http_request& request)
{
    if (request.path == "/v1/leases" && request.method == verb::post)
    {
        const auto body = boost::json::parse(request.body).as_object();
        const milliseconds time_to_live(body.at("ttl_ms").to_number<std::int64_t>());
        return {
            .body = {{"lease", grant_lease(held.store, time_to_live, present_time())}}};
    }
    const std::uint64_t lease = std::stoull(rest_of(request, lease_path));
    if (request.method == verb::delete_)
    {
        end_lease(held.store, lease);
        wake_watches(held);
        return {.body = boost::json::object()};
    }
    if (!renew_lease(held.store, lease, present_time()))
    {
        return not_found();
    }
    return {.body = boost::json::object()};
}

http_reply answer_instances(platform& held, const http_request& request)
{
    if (request.method == verb::get)
    {
        boost::json::array list;
        for (const auto& [name, told] :
             lagging_instances(held.store, held.options.list_lag, present_time())
                 .instances)
        {
            list.push_back(told);
        }
        return {.body = {{"instances", std::move(list)}}};
    }
    const std::string name = rest_of(request, instance_path);
    std::optional<boost::json::object> told;
    if (request.method == verb::put)
    {
        told = boost::json::parse(request.body).as_object();
        (*told)["name"] = name;
    }
    tell_instance(held.store, name, std::move(told), present_time());
    return {.body = boost::json::object()};
}

awaitable<http_reply> answer_call(platform& held, const http_request& request)
{
    if (request.path == "/v1/kv")
    {
        const auto prefix = request.query.find("prefix");
        co_return list_keys(held, prefix == request.query.end() ? "" : prefix->second);
    }
    if (starts_with(request, "/v1/leases"))
    {
        co_return answer_lease(held, request);
    }
    if (starts_with(request, "/v1/instances"))
    {
        co_return answer_instances(held, request);
    }
    if (!starts_with(request, key_path))
    {
        co_return not_found();
    }
    if (request.method == verb::put)
    {
        co_return put_key(held, request);
    }
    if (request.method == verb::delete_)
    {
        co_return delete_key(held, request);
    }
    if (request.query.contains("newer_than"))
    {
        co_return co_await watch_key(held, request);
    }
    const std::string key = rest_of(request, key_path);
    const stored_value* const found = find_value(held.store, key);
    co_return found == nullptr ? not_found() : http_reply{.body = entry(key, *found)};
}

/// Returns the fault that strikes this call, and uses up one of its count.
requested_fault strike(platform& held)
{
    requested_fault fault = held.fault;
    if (held.fault.count > 0 && --held.fault.count == 0)
    {
        held.fault = {};
    }
    return fault;
}

http_reply set_fault(platform& held, const http_request& request)
{
    const auto body = boost::json::parse(request.body).as_object();
    requested_fault fault{.mode = boost::json::value_to<std::string>(body.at("mode"))};
    if (const auto* const delay = body.if_contains("delay_ms"))
    {
        fault.delay = milliseconds(delay->to_number<std::int64_t>());
    }
    if (const auto* const count = body.if_contains("count"))
    {
        fault.count = count->to_number<std::uint64_t>();
    }
    held.fault = fault;
    return {.body = boost::json::object()};
}

http_reply show_calls(const platform& held)
{
    boost::json::object counts;
    for (const auto& [kind, count] : held.calls)
    {
        counts[kind] = count;
    }
    return {.body = counts};
}

/// Names the kind of a call as /fake/calls counts it.
std::string kind_of(const http_request& request)
{
    if (request.query.contains("newer_than"))
    {
        return "watch";
    }
    return request.method == verb::get ? "read" : "write";
}

} // namespace

awaitable<http_reply> answer(platform& held, const http_request& request)
{
    if (request.path == "/fake/fault")
    {
        co_return set_fault(held, request);
    }
    if (request.path == "/fake/calls")
    {
        co_return show_calls(held);
    }
    const std::string kind = kind_of(request);
    const requested_fault fault = strike(held);
    ++held.calls[kind];
    if (fault.mode == "down")
    {
        ++held.calls["failed"];
        co_return http_reply{.status = 503, .body = {{"error", "unavailable"}}};
    }
    if (!take_call(kind == "write" ? held.writes : held.reads, present_time()))
    {
        ++held.calls["over_rate"];
        co_return http_reply{.status = 429, .body = {{"error", "over the rate"}}};
    }
    if (fault.mode == "slow")
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                        fault.delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    http_reply reply = co_await answer_call(held, request);
    reply.close_without_answer = fault.mode == "lose_answers" && kind == "write";
    co_return reply;
}

void lapse_regularly(platform& held, boost::asio::steady_timer& timer)
{
    if (lapse_leases(held.store, present_time()))
    {
        wake_watches(held);
    }
    timer.expires_after(lease_check_interval);
    timer.async_wait([&](const boost::system::error_code& error)
                     { error ? void() : lapse_regularly(held, timer); });
}

} // namespace kumquatpath::fakes
