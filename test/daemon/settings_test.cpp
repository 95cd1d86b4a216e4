/// \file
/// Tests of read_settings(): a valid file, and the key that an error names.

#include <boost/leaf/handle_errors.hpp>

#include <settings.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;

TEST_GROUP(settings)
{
    const std::string complete_settings =
        R"({"name":"front-1","data_centre":"north","data":"10.1.0.10:8172",)"
        R"("ready":"10.1.0.10:8167","ready_path":"/v1/ready","metrics":"10.1.0.10:9102",)"
        R"("peer":"10.1.0.10:7720","seeds":["10.1.0.10:8166","10.2.0.40:8166"],)"
        R"("state":"10.200.1.7:8169","peer_key":")" +
        std::string(64, 'a') + R"("})";

    std::string invalid_key(const std::string& text)
    {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string>
            {
                BOOST_LEAF_CHECK(read_settings(text));
                return std::string("none");
            },
            [](const settings_fault& fault) { return "at " + fault.key; },
            [] { return std::string("unknown"); });
    }
};

TEST(settings, reads_a_complete_file)
{
    const auto read = read_settings(complete_settings);
    CHECK_TRUE(static_cast<bool>(read));
    STRCMP_EQUAL("front-1", read->name.c_str());
    UNSIGNED_LONGS_EQUAL(8172, read->data.port);
    UNSIGNED_LONGS_EQUAL(2, read->seeds.size());
    CHECK_FALSE_TEXT(read->uses_priorities, "must be off unless it is switched on");
}

TEST(settings, switches_priorities_on)
{
    std::string text = complete_settings;
    const auto read = read_settings(text.replace(1, 0, R"("priorities":true,)"));
    CHECK_TRUE(static_cast<bool>(read));
    CHECK_TRUE(read->uses_priorities);
    text = complete_settings;
    STRCMP_EQUAL("at priorities",
                 invalid_key(text.replace(1, 0, R"("priorities":"on",)")).c_str());
}

TEST(settings, names_the_invalid_key)
{
    std::string text = complete_settings;
    STRCMP_EQUAL("at data", invalid_key(text.replace(text.find(":8172"), 5, "")).c_str());
    text = complete_settings;
    STRCMP_EQUAL("at peer_key",
                 invalid_key(text.replace(text.find("aaaa"), 4, "zzzz")).c_str());
    text = complete_settings;
    STRCMP_EQUAL("at colour", invalid_key(text.replace(1, 0, R"("colour":1,)")).c_str());
    STRCMP_EQUAL("at ", invalid_key("[").c_str());
}

TEST(settings, target_speeds_are_used_only_if_the_file_says_so)
{
    CHECK_FALSE(read_settings(complete_settings)->uses_target_speeds);
    std::string text = complete_settings;
    text.replace(1, 0, R"("target_speeds":true,)");
    CHECK_TRUE(read_settings(text)->uses_target_speeds);
    text = complete_settings;
    text.replace(1, 0, R"("target_speeds":"yes",)");
    STRCMP_EQUAL("at target_speeds", invalid_key(text).c_str());
}

TEST(settings, second_tries_are_off_unless_the_file_sets_a_limit)
{
    DOUBLES_EQUAL(0, read_settings(complete_settings)->second_tries_percent, 0);
    std::string text = complete_settings;
    text.replace(1, 0, R"("second_tries_percent":2.5,)");
    DOUBLES_EQUAL(2.5, read_settings(text)->second_tries_percent, 0);
    for (const std::string_view invalid : {"-1", "10.1", "\"3\"", "true"})
    {
        text = complete_settings;
        text.replace(1, 0, R"("second_tries_percent":)" + std::string(invalid) + ",");
        STRCMP_EQUAL("at second_tries_percent", invalid_key(text).c_str());
    }
}

TEST(settings, evidence_is_shared_only_if_the_file_says_so)
{
    CHECK_FALSE(read_settings(complete_settings)->shares_evidence);
    std::string text = complete_settings;
    text.replace(1, 0, R"("shared_evidence":true,)");
    CHECK_TRUE(read_settings(text)->shares_evidence);
    text = complete_settings;
    text.replace(1, 0, R"("shared_evidence":"yes",)");
    STRCMP_EQUAL("at shared_evidence", invalid_key(text).c_str());
}

TEST(settings,
     ended_flows_are_reset_only_if_the_file_says_so_and_targets_announce_themselves)
{
    CHECK_FALSE(read_settings(complete_settings)->resets_ended_flows);
    std::string text = complete_settings;
    text.replace(1, 0, R"("interface":"platform","reset_ended_flows":true,)");
    CHECK_TRUE(read_settings(text)->resets_ended_flows);
    text = complete_settings;
    text.replace(1, 0, R"("interface":"own","reset_ended_flows":true,)");
    STRCMP_EQUAL("at reset_ended_flows", invalid_key(text).c_str());
}

TEST(settings, flows_leave_the_data_centre_by_measured_times_only_if_the_file_says_so)
{
    CHECK_FALSE(read_settings(complete_settings)->uses_remote_placement);
    std::string text = complete_settings;
    text.replace(1, 0, R"("remote_placement":true,)");
    CHECK_TRUE(read_settings(text)->uses_remote_placement);
    text = complete_settings;
    text.replace(1, 0, R"("remote_placement":1,)");
    STRCMP_EQUAL("at remote_placement", invalid_key(text).c_str());
}
