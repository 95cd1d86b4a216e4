/// \file
/// The platform's protocol: what is sent, and what each answer means.

#include "support/canned_server.hpp"

#include <kumquatpath/edge/platform_client.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

/// Returns the name of the failure of \p action, or "none".
template <class Action>
std::string failure_of(const Action& action)
{
    using text = std::string;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<text>
        {
            BOOST_LEAF_CHECK(action());
            return text("none");
        },
        [](const store_unreachable&) { return text("unreachable"); },
        [](const store_timeout&) { return text("timeout"); },
        [](const store_not_found&) { return text("not found"); },
        [](const store_malformed_answer&) { return text("malformed"); },
        [](const store_conflict& conflict)
        { return "conflict " + std::to_string(conflict.present.value); },
        [] { return text("unexpected"); });
}

std::string write_failure(const std::string& answer)
{
    canned_server server({{answer}});
    platform_client client({.server = server.address(), .timeout = 200ms});
    return failure_of([&] { return client.write({.key = "k", .value = "v"}); });
}

} // namespace

TEST_GROUP(platform_client){};

TEST(platform_client, reads_a_value_with_its_revision)
{
    canned_server server({{http_text(200, R"({"key":"a/b","value":"x","revision":9})")}});
    platform_client client({.server = server.address()});
    const auto value = client.read("a/b");
    server.join();

    CHECK_TRUE(value.has_value());
    STRCMP_EQUAL("x", value->value.c_str());
    LONGS_EQUAL(9, value->revision.value);
    STRCMP_EQUAL("GET /v1/kv/a/b", server.requests.at(0).c_str());
}

TEST(platform_client, a_waiting_read_that_ends_without_news_brings_nothing)
{
    canned_server server({{"HTTP/1.1 304 X\r\n\r\n"}});
    platform_client client({.server = server.address()});
    const auto value = client.read_newer("k", {4}, 50ms);
    server.join();

    CHECK_TRUE(value.has_value());
    CHECK_FALSE(value->has_value());
    STRCMP_EQUAL("GET /v1/kv/k?newer_than=4&wait_ms=50", server.requests.at(0).c_str());
}

TEST(platform_client, each_answer_to_a_write_has_its_own_failure)
{
    STRCMP_EQUAL("none", write_failure(http_text(200, R"({"revision":1})")).c_str());
    STRCMP_EQUAL("conflict 7",
                 write_failure(http_text(409, R"({"revision":7})")).c_str());
    STRCMP_EQUAL("unreachable", write_failure(http_text(503, "{}")).c_str());
    STRCMP_EQUAL("unreachable", write_failure(http_text(429, "{}")).c_str());
    STRCMP_EQUAL("malformed", write_failure(http_text(200, "{")).c_str());
    STRCMP_EQUAL("malformed", write_failure(http_text(500, "")).c_str());
}

TEST(platform_client, a_write_without_an_answer_may_have_taken_effect)
{
    STRCMP_EQUAL("timeout", write_failure("").c_str());
    STRCMP_EQUAL("timeout", write_failure("HTTP/1.1 200 X\r\nContent-").c_str());
}

TEST(platform_client, a_silent_platform_is_waited_for_no_longer_than_the_bound)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor silent(context,
                                          {boost::asio::ip::address_v4::loopback(), 0});
    platform_client client(
        {.server = {.address = 0x7f000001, .port = silent.local_endpoint().port()},
         .timeout = 50ms});

    STRCMP_EQUAL("timeout", failure_of([&] { return client.grant_lease(1s); }).c_str());
    STRCMP_EQUAL("unreachable", failure_of([&] { return client.read("k"); }).c_str());
}

TEST(platform_client, a_platform_that_is_not_there_takes_no_write)
{
    platform_client client({.server = {.address = 0x7f000001, .port = 1}});

    STRCMP_EQUAL("unreachable",
                 failure_of([&] { return client.renew_lease({1}); }).c_str());
}

TEST(platform_client, a_read_is_sent_again_when_a_kept_connection_was_closed)
{
    const std::string value = http_text(200, R"({"key":"k","value":"x","revision":1})");
    canned_server server({{value}, {value}});
    platform_client client({.server = server.address()});

    STRCMP_EQUAL("none", failure_of([&] { return client.read("k"); }).c_str());
    STRCMP_EQUAL("none", failure_of([&] { return client.read("k"); }).c_str());
}

TEST(platform_client, reads_the_list_of_instances)
{
    canned_server server({{http_text(
        200,
        R"({"instances":[{"name":"i","address":"127.0.0.1:1","operator":"127.0.0.1:2",
                               "data_centre":"a","state":"leaving"}]})")}});
    platform_client client({.server = server.address()});
    const auto list = client.instances();

    CHECK_TRUE(list.has_value());
    LONGS_EQUAL(2, list->at(0).operator_address.port);
    CHECK_TRUE(list->at(0).state == platform_instance_state::leaving);
}
