/// \file
/// The query check: its exit codes, its output, and its comparison with the
/// configuration in force.

#include "client/check.hpp"
#include "client/client.hpp"
#include "client/commands.hpp"
#include "support/canned_server.hpp"
#include "support/documents.hpp"
#include "support/memory_store.hpp"

#include <boost/json/serialize.hpp>

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
namespace json = boost::json;

namespace
{

/// A file that holds a document; removed at the end.
class document_file
{
public:
    explicit document_file(const json::value& document)
        : name_("check_test." + std::to_string(getpid()) + ".json")
    {
        std::ofstream(name_) << json::serialize(document);
    }
    ~document_file()
    {
        std::remove(name_.c_str());
    }
    document_file(const document_file&) = delete;
    document_file& operator=(const document_file&) = delete;
    document_file(document_file&&) = delete;
    document_file& operator=(document_file&&) = delete;

    const std::string& name() const
    {
        return name_;
    }

private:
    std::string name_;
};

/// Returns small_document() with one warning: a data centre without targets.
json::value document_with_warning()
{
    json::value document = small_document();
    at(document, "data_centres", "c", "region") = "r";
    return document;
}

/// Listens on loopback, but responds to no request.
class silent_server
{
public:
    silent_server() : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}) {}

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

bool is_not_compared(const comparison& compared, not_compared reason)
{
    const auto* const found = std::get_if<not_compared>(&compared);
    return found != nullptr && *found == reason;
}

} // namespace

TEST_GROUP(check)
{
    std::ostringstream out;
    std::ostringstream errors;
    memory_store store;

    int run(const json::value& document, std::vector<std::string> arguments,
            const command_environment& environment = {})
    {
        const document_file file(document);
        arguments.insert(arguments.begin(), {"check", file.name()});
        out.str("");
        return static_cast<int>(run_client(arguments, environment, out, errors));
    }

    json::object printed_json()
    {
        return json::parse(out.str()).as_object();
    }

    void put_into_force(const json::value& document)
    {
        CHECK_TRUE(
            apply(store, json::serialize(document), {}, {"anna", "submission-1", {}})
                .has_value());
    }
};

TEST(check, a_document_without_findings_needs_no_platform_and_exits_with_0)
{
    LONGS_EQUAL(0, run(small_document(), {}));
    STRCMP_CONTAINS(": no fault found\n"
                    "Not compared with the configuration in force: no platform is set; "
                    "pass --platform or set KUMQUATPATH_PLATFORM.\n",
                    out.str().c_str());
    LONGS_EQUAL(0, run(small_document(), {"--strict"}));
}

TEST(check, a_warning_is_printed_with_its_pointer_remedy_and_kind)
{
    LONGS_EQUAL(0, run(document_with_warning(), {}));
    STRCMP_CONTAINS(
        "warning: /data_centres/c: The data centre \"c\" has no targets. "
        "Remove the data centre, or add targets to it. (unused_data_centre)\n",
        out.str().c_str());
    STRCMP_CONTAINS(": no fault found, 1 warning\n", out.str().c_str());
}

TEST(check, warnings_exit_with_7_if_strict_and_otherwise_with_0)
{
    LONGS_EQUAL(0, run(document_with_warning(), {}));
    LONGS_EQUAL(7, run(document_with_warning(), {"--strict"}));
}

TEST(check, faults_exit_with_1_whatever_is_demanded)
{
    json::value document = document_with_warning();
    at(document, "format") = 2;

    LONGS_EQUAL(1, run(document, {}));
    LONGS_EQUAL(1, run(document, {"--strict", "--compare"}));
}

TEST(check, an_unreachable_platform_exits_with_3_only_if_the_comparison_is_demanded)
{
    LONGS_EQUAL(0, run(small_document(), {}, {.platform = "127.0.0.1:1"}));
    STRCMP_CONTAINS(
        "Not compared with the configuration in force: the platform cannot be "
        "reached.\n",
        out.str().c_str());
    LONGS_EQUAL(3, run(small_document(), {"--compare"}, {.platform = "127.0.0.1:1"}));
    LONGS_EQUAL(3,
                run(document_with_warning(), {"--compare", "--platform", "127.0.0.1:1"}));
}

TEST(check, warnings_that_are_not_allowed_come_before_a_missing_comparison)
{
    LONGS_EQUAL(7, run(document_with_warning(), {"--strict", "--compare"},
                       {.platform = "127.0.0.1:1"}));
}

TEST(check, a_missing_or_malformed_address_is_a_usage_error_only_if_demanded)
{
    LONGS_EQUAL(2, run(small_document(), {"--compare"}));
    LONGS_EQUAL(2, run(small_document(), {"--compare"}, {.platform = "north"}));
    LONGS_EQUAL(0, run(small_document(), {}, {.platform = "north"}));
    STRCMP_CONTAINS("the platform's address is not of the form ip:port.",
                    out.str().c_str());
}

TEST(check, a_platform_that_does_not_respond_delays_a_check_by_at_most_2_s)
{
    const silent_server platform;
    const auto start = std::chrono::steady_clock::now();
    LONGS_EQUAL(0, run(small_document(), {}, {.platform = platform.address()}));
    const auto elapsed = std::chrono::steady_clock::now() - start;

    STRCMP_CONTAINS("the platform did not respond in time.", out.str().c_str());
    CHECK_TRUE(elapsed < std::chrono::seconds(2));
}

TEST(check, a_malformed_response_of_the_platform_is_named)
{
    canned_server platform({{http_response_text(200, "no JSON")}});
    LONGS_EQUAL(3, run(small_document(), {"--compare"},
                       {.platform = to_string(platform.address())}));
    platform.join();

    STRCMP_CONTAINS("the platform's response is malformed.", out.str().c_str());
}

TEST(check, a_document_is_compared_with_the_configuration_in_force)
{
    put_into_force(small_document());
    const comparison compared = compare_if_possible(store, document_with_warning());

    const auto& difference = std::get<document_diff>(compared);
    LONGS_EQUAL(1, difference.in_force.value);
    LONGS_EQUAL(1, difference.changes.size());
    STRCMP_EQUAL("/data_centres/c", to_pointer(difference.changes[0].path).c_str());
    CHECK_TRUE(difference.changes[0].kind == change_kind::added);
}

TEST(check, a_store_without_a_configuration_counts_every_object_as_added)
{
    const comparison compared = compare_if_possible(store, small_document());

    const auto& difference = std::get<document_diff>(compared);
    LONGS_EQUAL(0, difference.in_force.value);
    CHECK_TRUE(difference.changes.size() > 1);
}

TEST(check, a_configuration_in_force_with_faults_is_not_taken_for_faults_of_the_file)
{
    put_into_force(small_document());
    store.values[std::string(configuration_key)].value = "{}";

    CHECK_TRUE(is_not_compared(compare_if_possible(store, small_document()),
                               not_compared::invalid_configuration));
}

TEST(check, an_unreachable_store_is_a_reason_not_to_compare)
{
    store.is_down = true;

    CHECK_TRUE(is_not_compared(compare_if_possible(store, small_document()),
                               not_compared::store_unreachable));
}

TEST(check, json_output_holds_warnings_and_why_there_is_no_comparison)
{
    LONGS_EQUAL(7, run(document_with_warning(), {"--json", "--strict"}));
    const json::object printed = printed_json();

    LONGS_EQUAL(0, printed.at("faults").as_array().size());
    const json::object& warning = printed.at("warnings").as_array().at(0).as_object();
    STRCMP_EQUAL("unused_data_centre", warning.at("kind").as_string().c_str());
    STRCMP_EQUAL("/data_centres/c", warning.at("pointer").as_string().c_str());
    CHECK_TRUE(!warning.at("description").as_string().empty());
    CHECK_TRUE(!warning.at("remedy").as_string().empty());
    STRCMP_EQUAL(
        "no_platform",
        printed.at("comparison").as_object().at("not_compared").as_string().c_str());
}

TEST(check, json_output_holds_the_same_comparison_as_diff)
{
    put_into_force(small_document());
    const auto difference = diff(store, json::serialize(document_with_warning()));
    CHECK_TRUE(difference.has_value());
    const check_result result{.comparison =
                                  compare_if_possible(store, document_with_warning())};
    print_check(out, "site.json", result, true);
    std::ostringstream diff_out;
    print_diff(diff_out, *difference, true);

    CHECK_TRUE(printed_json().at("comparison") == json::parse(diff_out.str()));
}

TEST(check, the_text_shows_the_comparison_as_diff_does)
{
    put_into_force(small_document());
    const check_result result{.comparison =
                                  compare_if_possible(store, document_with_warning())};
    print_check(out, "site.json", result, false);

    STRCMP_EQUAL("site.json: no fault found\n"
                 "Against generation 1, which is in force:\n"
                 "  + /data_centres/c\n"
                 "1 objects\n",
                 out.str().c_str());
}
