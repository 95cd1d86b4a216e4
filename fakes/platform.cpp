#include "platform.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <support/program.hpp>

#include <algorithm>

namespace kumquatpath::fakes
{
namespace
{

using boost::asio::awaitable;
using boost::beast::http::verb;
using std::chrono::milliseconds;

constexpr milliseconds lease_check_interval{20};
constexpr std::size_t max_items_per_page = 500;
constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_transaction_entries = 32;
constexpr milliseconds max_watch_wait{30'000};
constexpr std::string_view lease_renewal_path = "/v1/kv-keep/";
constexpr std::string_view lease_end_path = "/v1/kv-lease-end/";

bool take_token(token_bucket& bucket, time_point now)
{
    const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
    bucket.tokens = std::min(bucket.rate, bucket.tokens + elapsed.count() * bucket.rate);
    bucket.refilled_at = now;
    if (bucket.tokens < 1)
    {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void wake_watches(platform_state& state)
{
    for (auto& timer : state.watch_timers)
    {
        timer.cancel();
    }
}

http_response error_response(unsigned status, std::string_view message)
{
    return {.status = status, .body = {{"error", message}}};
}

std::string query_parameter(const http_request& request, const std::string& name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

boost::json::object make_item(const std::string& key, const stored_value& stored)
{
    return {{"key", key},
            {"value", stored.value},
            {"revision", stored.revision},
            {"createdAt", stored.created_revision},
            {"lease", stored.lease}};
}

http_response handle_key_read(const platform_state& state, const http_request& request)
{
    const std::string key = query_parameter(request, "key");
    const stored_value* const found = find_value(state.store, key);
    if (found == nullptr)
    {
        return error_response(404, "key not found");
    }
    boost::json::object body = make_item(key, *found);
    body["at"] = state.store.revision;
    return {.body = std::move(body)};
}

http_response handle_range_read(const platform_state& state, const http_request& request)
{
    const std::string prefix = query_parameter(request, "prefix");
    const std::string after = query_parameter(request, "after");
    boost::json::array items;
    auto entry = after.empty() ? state.store.values.lower_bound(prefix)
                               : state.store.values.upper_bound(after);
    while (entry != state.store.values.end() && entry->first.starts_with(prefix) &&
           items.size() < max_items_per_page)
    {
        items.push_back(make_item(entry->first, entry->second));
        ++entry;
    }
    const bool has_more =
        entry != state.store.values.end() && entry->first.starts_with(prefix);
    return {.body = {{"items", std::move(items)},
                     {"hasMore", has_more},
                     {"at", state.store.revision}}};
}

/// Returns the events after \p known_revision for keys with \p prefix.
boost::json::array events_after(const platform_state& state, std::uint64_t known_revision,
                                const std::string& prefix)
{
    boost::json::array events;
    for (const stored_event& event : state.store.events)
    {
        if (event.revision <= known_revision || !event.key.starts_with(prefix))
        {
            continue;
        }
        if (event.value)
        {
            events.push_back(make_item(event.key, *event.value));
        }
        else
        {
            events.push_back(boost::json::object{
                {"key", event.key}, {"revision", event.revision}, {"deleted", true}});
        }
    }
    return events;
}

/// Responds as soon as there is a matching event, or without events when the wait ends.
awaitable<http_response> handle_watch(platform_state& state, const http_request& request)
{
    const std::string prefix = query_parameter(request, "prefix");
    const std::uint64_t known_revision = request.number_parameter("after", 0);
    const std::uint64_t era = state.store.era;
    const auto wait =
        std::min(milliseconds(request.number_parameter("waitMs", 0)), max_watch_wait);
    const time_point deadline = present_time() + wait;
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto timer = state.watch_timers.emplace(state.watch_timers.end(), executor);
    http_response response;
    while (true)
    {
        const bool is_known = known_revision >= state.store.compacted_revision &&
                              known_revision <= state.store.revision &&
                              era == state.store.era;
        if (!is_known)
        {
            response = error_response(410, "no history from this revision on");
            break;
        }
        boost::json::array events = events_after(state, known_revision, prefix);
        if (!events.empty() || present_time() >= deadline)
        {
            response.body = {{"events", std::move(events)}, {"at", state.store.revision}};
            break;
        }
        timer->expires_after(deadline - present_time());
        boost::system::error_code wait_error;
        co_await timer->async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, wait_error));
    }
    state.watch_timers.erase(timer);
    co_return response;
}

transaction read_transaction(const boost::json::object& body)
{
    using boost::json::value_to;
    transaction operation;
    for (const auto& entry : body.at("expected").as_array())
    {
        operation.preconditions.push_back(
            {.key = value_to<std::string>(entry.at("key")),
             .revision = entry.at("revision").to_number<std::uint64_t>()});
    }
    for (const auto& entry : body.at("writes").as_array())
    {
        stored_value& value = operation.writes[value_to<std::string>(entry.at("key"))];
        value.value = value_to<std::string>(entry.at("value"));
        if (const auto* const lease = entry.as_object().if_contains("lease"))
        {
            value.lease = lease->to_number<std::uint64_t>();
        }
    }
    for (const auto& entry : body.at("deletes").as_array())
    {
        operation.deletes.push_back(value_to<std::string>(entry));
    }
    return operation;
}

http_response conflict_response(const platform_state& state, const transaction& operation)
{
    boost::json::array items;
    for (const precondition& condition : operation.preconditions)
    {
        if (const stored_value* const found = find_value(state.store, condition.key))
        {
            items.push_back(make_item(condition.key, *found));
        }
    }
    return {.status = 412, .body = {{"items", std::move(items)}}};
}

http_response handle_transaction(platform_state& state, const http_request& request)
{
    const transaction operation =
        read_transaction(boost::json::parse(request.body).as_object());
    if (operation.writes.size() + operation.deletes.size() > max_transaction_entries)
    {
        return error_response(400, "too many writes and deletes in transaction");
    }
    for (const auto& [key, value] : operation.writes)
    {
        // Base64 encodes three bytes as four characters.
        if (key.size() > max_key_bytes || value.value.size() / 4 * 3 > max_value_bytes)
        {
            return error_response(413, "key or value too long");
        }
        if (value.lease != 0 && !state.store.leases.contains(value.lease))
        {
            return error_response(404, "lease not found");
        }
    }
    if (!execute(state.store, operation))
    {
        return conflict_response(state, operation);
    }
    wake_watches(state);
    return {.body = {{"revision", state.store.revision}}};
}

http_response handle_lease_call(platform_state& state, const http_request& request)
{
    if (request.path == "/v1/kv-lease")
    {
        const auto body = boost::json::parse(request.body).as_object();
        const auto time_to_live = body.at("ttlMs").to_number<std::int64_t>();
        return {.body = {{"lease", grant_lease(state.store, milliseconds(time_to_live),
                                               present_time())},
                         {"ttlMs", time_to_live}}};
    }
    if (request.path.starts_with(lease_renewal_path))
    {
        const std::uint64_t lease =
            std::stoull(request.path.substr(lease_renewal_path.size()));
        if (!renew_lease(state.store, lease, present_time()))
        {
            return error_response(404, "lease not found");
        }
        const auto time_to_live = state.store.leases[lease].time_to_live;
        return {
            .body = {{"ttlMs",
                      std::chrono::duration_cast<milliseconds>(time_to_live).count()}}};
    }
    end_lease(state.store, std::stoull(request.path.substr(lease_end_path.size())));
    wake_watches(state);
    return {.body = boost::json::object()};
}

awaitable<http_response> handle_store_call(platform_state& state,
                                           const http_request& request)
{
    if (request.path == "/v1/kv-key")
    {
        co_return handle_key_read(state, request);
    }
    if (request.path == "/v1/kv-range")
    {
        co_return handle_range_read(state, request);
    }
    if (request.path == "/v1/kv-watch")
    {
        co_return co_await handle_watch(state, request);
    }
    if (request.path == "/v1/kv-txn")
    {
        co_return handle_transaction(state, request);
    }
    if (request.path == "/v1/kv-lease" || request.path.starts_with(lease_renewal_path) ||
        request.path.starts_with(lease_end_path))
    {
        co_return handle_lease_call(state, request);
    }
    co_return error_response(404, "unknown path");
}

/// Returns the fault that applies to this call, and decrements its remaining count.
injected_fault take_fault(platform_state& state)
{
    injected_fault fault = state.fault;
    if (state.fault.count > 0 && --state.fault.count == 0)
    {
        state.fault = {};
    }
    return fault;
}

http_response set_fault(platform_state& state, const http_request& request)
{
    const auto body = boost::json::parse(request.body).as_object();
    injected_fault fault{.mode = boost::json::value_to<std::string>(body.at("mode"))};
    if (const auto* const delay = body.if_contains("delay_ms"))
    {
        fault.delay = milliseconds(delay->to_number<std::int64_t>());
    }
    if (const auto* const count = body.if_contains("count"))
    {
        fault.count = count->to_number<std::uint64_t>();
    }
    state.fault = fault;
    return {.body = boost::json::object()};
}

http_response call_counts_response(const platform_state& state)
{
    boost::json::object counts;
    for (const auto& [kind, count] : state.call_counts)
    {
        counts[kind] = count;
    }
    return {.body = counts};
}

/// Returns the kind under which /fake/calls counts the call.
std::string call_kind(const http_request& request)
{
    if (request.path == "/v1/kv-watch")
    {
        return "watch";
    }
    return request.method == verb::get ? "read" : "write";
}

/// Responds to a call of the store, or to one of the fake itself.
awaitable<http_response> respond(platform_state& state, const http_request& request)
{
    if (request.path == "/fake/compact")
    {
        compact_history(state.store);
        wake_watches(state);
        co_return http_response{.body = boost::json::object()};
    }
    if (request.path == "/fake/copy")
    {
        state.copy = state.store;
        co_return http_response{.body = boost::json::object()};
    }
    if (request.path == "/fake/return")
    {
        return_from_copy(state.store, state.copy);
        wake_watches(state);
        co_return http_response{.body = boost::json::object()};
    }
    if (request.path == "/fake/fault")
    {
        co_return set_fault(state, request);
    }
    if (request.path == "/fake/calls")
    {
        co_return call_counts_response(state);
    }
    const std::string kind = call_kind(request);
    const injected_fault fault = take_fault(state);
    ++state.call_counts[kind];
    if (fault.mode == "down")
    {
        ++state.call_counts["failed"];
        co_return http_response{.status = 503, .body = {{"error", "unavailable"}}};
    }
    if (!take_token(kind == "write" ? state.write_bucket : state.read_bucket,
                    present_time()))
    {
        ++state.call_counts["over_rate"];
        co_return http_response{.status = 429,
                                .body = {{"error", "rate limit exceeded"}}};
    }
    if (fault.mode == "slow")
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                        fault.delay);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    http_response response = co_await handle_store_call(state, request);
    response.close_without_response = fault.mode == "lose_answers" && kind == "write";
    co_return response;
}

} // namespace

awaitable<http_response> handle_request(platform_state& state,
                                        const http_request& request)
{
    http_response response = co_await respond(state, request);
    response.headers["Store-Era"] = std::to_string(state.store.era);
    co_return response;
}

void expire_leases_periodically(platform_state& state, boost::asio::steady_timer& timer)
{
    if (expire_leases(state.store, present_time()))
    {
        wake_watches(state);
    }
    timer.expires_after(lease_check_interval);
    timer.async_wait([&](const boost::system::error_code& error)
                     { error ? void() : expire_leases_periodically(state, timer); });
}

} // namespace kumquatpath::fakes
