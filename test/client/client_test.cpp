/// \file
/// Tests of the client from the command line to the exit code.

#include "client/client.hpp"
#include "client/verb_table.hpp"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(client)
{
    std::ostringstream out;
    std::ostringstream errors;

    int run(const std::vector<std::string>& arguments)
    {
        return static_cast<int>(run_client(arguments, {}, out, errors));
    }
};

TEST(client, check_lists_every_fault_and_exits_with_1)
{
    LONGS_EQUAL(1, run({"check", KUMQUATPATH_SAMPLES "/five-faults.json"}));
    STRCMP_CONTAINS("/listeners/mapstore-front/address: ", errors.str().c_str());
    STRCMP_CONTAINS("Did you mean \"nairobi-b\"?", errors.str().c_str());
    STRCMP_CONTAINS("5 faults", errors.str().c_str());
}

TEST(client, check_with_json_prints_faults_to_standard_output)
{
    LONGS_EQUAL(1, run({"check", "--json", KUMQUATPATH_SAMPLES "/five-faults.json"}));
    STRCMP_CONTAINS(R"("failure":"configuration_faults")", out.str().c_str());
    STRCMP_EQUAL("", errors.str().c_str());
}

TEST(client, check_of_a_valid_document_exits_with_0)
{
    LONGS_EQUAL(0, run({"check", KUMQUATPATH_SAMPLES "/nairobi.json"}));
}

TEST(client, an_unreachable_platform_exits_with_3_and_reports_that_nothing_changed)
{
    LONGS_EQUAL(3, run({"--platform", "127.0.0.1:1", "apply",
                        KUMQUATPATH_SAMPLES "/nairobi.json"}));
    STRCMP_CONTAINS("Nothing was changed: while the platform is unavailable, "
                    "configurations can be neither read nor published",
                    errors.str().c_str());
}

TEST(client, an_invalid_command_line_exits_with_2)
{
    LONGS_EQUAL(2, run({"aply", "x.json"}));
    LONGS_EQUAL(2, run({"drain", "target"}));
    LONGS_EQUAL(2, run({"drain", "pool", "x"}));
    LONGS_EQUAL(2, run({"rollback", "soon"}));
    LONGS_EQUAL(2, run({"show", "--wait"}));
    LONGS_EQUAL(2, run({"show"}));
    LONGS_EQUAL(2, run({"status"}));
    LONGS_EQUAL(2, run({"metrics"}));
    LONGS_EQUAL(2, run({"check", "/no/such/file"}));
}

TEST(client, help_lists_every_verb_and_its_examples)
{
    LONGS_EQUAL(0, run({"--help"}));
    for (const verb_entry& each : verb_entries())
    {
        STRCMP_CONTAINS(std::string(each.summary).c_str(), out.str().c_str());
        std::ostringstream page;
        LONGS_EQUAL(0, static_cast<int>(run_client({std::string(each.name), "--help"}, {},
                                                   page, errors)));
        STRCMP_CONTAINS("Examples:", page.str().c_str());
    }
}
