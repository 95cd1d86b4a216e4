#include <kumquatpath/edge/platform_client.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

boost::leaf::error_id malformed(unsigned status = status_ok)
{
    return boost::leaf::new_error(store_malformed_answer{status});
}

/// Returns the value of \p key in the object \p whole, or null.
const json::value* member(const json::value& whole, std::string_view key)
{
    const json::object* const object = whole.if_object();
    return object == nullptr ? nullptr : object->if_contains({key.data(), key.size()});
}

boost::leaf::result<std::string> text_of(const json::value& whole, std::string_view key)
{
    const json::value* const value = member(whole, key);
    if (value == nullptr || !value->is_string())
    {
        return malformed();
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

boost::leaf::result<std::uint64_t> number_of(const json::value& whole,
                                             std::string_view key)
{
    const json::value* const value = member(whole, key);
    json::error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    if (value == nullptr || error)
    {
        return malformed();
    }
    return number;
}

boost::leaf::result<const json::array*> array_of(const json::value& whole,
                                                 std::string_view key)
{
    const json::value* const value = member(whole, key);
    if (value == nullptr || !value->is_array())
    {
        return malformed();
    }
    return &value->get_array();
}

boost::leaf::result<stored_value> stored_value_of(const json::value& whole)
{
    BOOST_LEAF_AUTO(key, text_of(whole, "key"));
    BOOST_LEAF_AUTO(value, text_of(whole, "value"));
    BOOST_LEAF_AUTO(number, number_of(whole, "revision"));
    return stored_value{std::move(key), std::move(value), {number}};
}

boost::leaf::result<platform_instance> instance_of(const json::value& whole)
{
    platform_instance read;
    BOOST_LEAF_ASSIGN(read.name, text_of(whole, "name"));
    BOOST_LEAF_ASSIGN(read.data_centre, text_of(whole, "data_centre"));
    BOOST_LEAF_AUTO(address, text_of(whole, "address"));
    BOOST_LEAF_ASSIGN(read.address, parse_endpoint(address));
    if (member(whole, "operator") != nullptr)
    {
        BOOST_LEAF_AUTO(operator_address, text_of(whole, "operator"));
        BOOST_LEAF_ASSIGN(read.operator_address, parse_endpoint(operator_address));
    }
    BOOST_LEAF_AUTO(state, text_of(whole, "state"));
    read.state = state == "leaving" ? platform_instance_state::leaving
                                    : platform_instance_state::live;
    return read;
}

std::string key_path(std::string_view key)
{
    return "/v1/kv/" + std::string(key);
}

std::string lease_path(lease_id lease)
{
    return "/v1/leases/" + std::to_string(lease.value);
}

boost::leaf::result<void> expect_success(const http_answer& answer)
{
    if (answer.status == status_not_found)
    {
        return boost::leaf::new_error(store_not_found{});
    }
    if (answer.status != status_ok && answer.status != status_no_content)
    {
        return malformed(answer.status);
    }
    return {};
}

} // namespace

platform_client::platform_client(const platform_options& options)
    : client_(options.server), timeout_(options.timeout)
{
}

boost::leaf::result<http_answer> platform_client::call(http_request request)
{
    request.timeout += timeout_;
    return boost::leaf::try_handle_some(
        [&]() -> boost::leaf::result<http_answer>
        {
            BOOST_LEAF_AUTO(answer, client_.call(request));
            if (answer.status == status_unavailable ||
                answer.status == status_too_many_requests)
            {
                return boost::leaf::new_error(store_unreachable{});
            }
            if (answer.status == status_conflict)
            {
                json::error_code error;
                BOOST_LEAF_AUTO(present,
                                number_of(json::parse(answer.body, error), "revision"));
                return boost::leaf::new_error(store_conflict{{present}});
            }
            return answer;
        },
        [&](http_failure failure) -> boost::leaf::result<http_answer>
        {
            // A read that brought no answer has changed nothing.
            if (failure == http_failure::not_sent || request.method == http_method::read)
            {
                return boost::leaf::new_error(store_unreachable{});
            }
            return boost::leaf::new_error(store_timeout{});
        });
}

boost::leaf::result<json::value> platform_client::call_for_json(http_request request)
{
    BOOST_LEAF_AUTO(answer, call(std::move(request)));
    BOOST_LEAF_CHECK(expect_success(answer));
    json::error_code error;
    json::value body = json::parse(answer.body, error);
    if (error)
    {
        return malformed(answer.status);
    }
    return body;
}

boost::leaf::result<stored_value> platform_client::read(std::string_view key)
{
    BOOST_LEAF_AUTO(body, call_for_json({.target = key_path(key), .timeout = {}}));
    return stored_value_of(body);
}

boost::leaf::result<std::optional<stored_value>>
platform_client::read_newer(std::string_view key, revision known,
                            std::chrono::milliseconds wait)
{
    const std::string query = "?newer_than=" + std::to_string(known.value) +
                              "&wait_ms=" + std::to_string(wait.count());
    BOOST_LEAF_AUTO(answer, call({.target = key_path(key) + query, .timeout = wait}));
    if (answer.status == status_not_modified)
    {
        return std::optional<stored_value>();
    }
    BOOST_LEAF_CHECK(expect_success(answer));
    json::error_code error;
    BOOST_LEAF_AUTO(value, stored_value_of(json::parse(answer.body, error)));
    return std::optional(std::move(value));
}

boost::leaf::result<std::vector<stored_value>>
platform_client::list(std::string_view prefix)
{
    BOOST_LEAF_AUTO(body, call_for_json({.target = "/v1/kv?prefix=" + std::string(prefix),
                                         .timeout = {}}));
    BOOST_LEAF_AUTO(entries, array_of(body, "entries"));
    std::vector<stored_value> values;
    for (const json::value& each : *entries)
    {
        BOOST_LEAF_AUTO(value, stored_value_of(each));
        values.push_back(std::move(value));
    }
    return values;
}

boost::leaf::result<std::vector<platform_instance>> platform_client::instances()
{
    BOOST_LEAF_AUTO(body, call_for_json({.target = "/v1/instances", .timeout = {}}));
    return parse_instances(body);
}

boost::leaf::result<revision> platform_client::write(const write_options& options)
{
    json::object body = {{"value", options.value},
                         {"expected_revision", options.expected.value}};
    if (options.lease)
    {
        body["lease"] = options.lease->value;
    }
    BOOST_LEAF_AUTO(answer, call_for_json({.method = http_method::put,
                                           .target = key_path(options.key),
                                           .body = json::serialize(body),
                                           .timeout = {}}));
    BOOST_LEAF_AUTO(number, number_of(answer, "revision"));
    return revision{number};
}

boost::leaf::result<void> platform_client::erase(std::string_view key, revision expected)
{
    const std::string query = "?expected_revision=" + std::to_string(expected.value);
    BOOST_LEAF_AUTO(answer, call({.method = http_method::erase,
                                  .target = key_path(key) + query,
                                  .timeout = {}}));
    return expect_success(answer);
}

boost::leaf::result<lease_id>
platform_client::grant_lease(std::chrono::milliseconds lifetime)
{
    const json::object body = {{"ttl_ms", lifetime.count()}};
    BOOST_LEAF_AUTO(answer, call_for_json({.method = http_method::post,
                                           .target = "/v1/leases",
                                           .body = json::serialize(body),
                                           .timeout = {}}));
    BOOST_LEAF_AUTO(number, number_of(answer, "lease"));
    return lease_id{number};
}

boost::leaf::result<void> platform_client::renew_lease(lease_id lease)
{
    BOOST_LEAF_AUTO(answer, call({.method = http_method::post,
                                  .target = lease_path(lease) + "/renew",
                                  .timeout = {}}));
    return expect_success(answer);
}

boost::leaf::result<void> platform_client::revoke_lease(lease_id lease)
{
    BOOST_LEAF_AUTO(
        answer,
        call({.method = http_method::erase, .target = lease_path(lease), .timeout = {}}));
    return expect_success(answer);
}

boost::leaf::result<std::vector<platform_instance>>
parse_instances(const json::value& answer)
{
    BOOST_LEAF_AUTO(list, array_of(answer, "instances"));
    std::vector<platform_instance> read;
    for (const json::value& each : *list)
    {
        BOOST_LEAF_AUTO(
            instance,
            boost::leaf::try_handle_some(
                [&] { return instance_of(each); },
                [](const malformed_endpoint&) -> boost::leaf::result<platform_instance>
                { return malformed(); }));
        read.push_back(std::move(instance));
    }
    return read;
}

} // namespace kumquatpath
