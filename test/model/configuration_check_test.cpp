/// \file
/// Tests check_document(): valid documents are read completely, and all faults of an
/// invalid one are reported.

#include "support/documents.hpp"

#include <kumquatpath/model/configuration_check.hpp>

#include <boost/json/serialize.hpp>

#include <chrono>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using fault_kind = configuration_fault_kind;

namespace
{

fault_list faults_in(const std::string& text)
{
    return faults_of([&] { return check_document(text); });
}

fault_list faults_in(const boost::json::value& document)
{
    return faults_in(boost::json::serialize(document));
}

/// Returns one line "kind pointer name expected" for each fault, so that a failed
/// comparison shows all of them.
std::string format_faults(const fault_list& faults)
{
    std::string lines;
    for (const configuration_fault& each : faults)
    {
        lines += std::string(to_string(each.kind)) + ' ' + each.pointer + ' ' +
                 each.name + ' ' + each.expected + '\n';
    }
    return lines;
}

} // namespace

TEST_GROUP(configuration_check)
{
    boost::json::value document = small_document();
};

TEST(configuration_check, a_valid_document_is_read_completely)
{
    const auto parsed = check_document(boost::json::serialize(document));

    CHECK_TRUE(parsed.has_value());
    LONGS_EQUAL(2, parsed->data_centres.size());
    LONGS_EQUAL(2, parsed->pools.at(0).targets.size());
    LONGS_EQUAL(id_of<target_id>("t1").value, parsed->pools[0].targets[0].id.value);
    LONGS_EQUAL(9001, parsed->pools[0].targets[0].address.port);
    LONGS_EQUAL(100, parsed->services.at(0).flow_lifetime.count());
    LONGS_EQUAL(id_of<service_id>("s").value, parsed->listeners.at(0).service.value);
    LONGS_EQUAL(6000, parsed->pools[0].targets[0].connections);
}

TEST(configuration_check, the_sample_documents_are_valid)
{
    STRCMP_EQUAL("", format_faults(faults_in(read_sample("nairobi.json"))).c_str());
    STRCMP_EQUAL("", format_faults(faults_in(read_sample("reykjanes.json"))).c_str());
}

TEST(configuration_check, five_separate_faults_are_all_reported)
{
    const std::string hosts = "/pools/catalogue-hosts/targets/";
    const std::string expected =
        "unknown_key " + hosts + "catalogue-1/conections conections connections\n" +
        "unknown_reference " + hosts + "catalogue-2/data_centre nairobi-bb nairobi-b\n" +
        "empty_pool /pools/mapstore-hosts/targets mapstore-hosts \n"
        "duplicate_address /listeners/mapstore-front/address 127.10.0.1:7001 "
        "/listeners/catalogue-front\n"
        "out_of_range /classes/lookup/deadline_ms 900000 \n";

    STRCMP_EQUAL(expected.c_str(),
                 format_faults(faults_in(read_sample("five-faults.json"))).c_str());
}

TEST(configuration_check, a_syntax_fault_reports_its_offset)
{
    const fault_list faults = faults_in(std::string(R"({"format":1,})"));

    LONGS_EQUAL(1, faults.size());
    CHECK_TRUE(faults[0].kind == fault_kind::syntax);
    LONGS_EQUAL(12, faults[0].offset);
}

TEST(configuration_check, a_duplicate_key_is_reported_together_with_other_faults)
{
    std::string text = boost::json::serialize(document);
    text.replace(text.find(R"("id":1)"), 6, R"("id":0,"id":0)");

    STRCMP_EQUAL("duplicate_key /tenants/n/id id \nout_of_range /tenants/n/id 0 \n",
                 format_faults(faults_in(text)).c_str());
}

TEST(configuration_check, wrong_types_and_missing_keys_are_reported_with_their_pointer)
{
    at(document, "services", "s") = boost::json::object{{"pool", 7}};
    at(document, "listeners", "l").get_object().erase("kind");
    at(document, "tenants") = nullptr;

    STRCMP_EQUAL("wrong_type /services/s/pool a number a string\n"
                 "missing_key /listeners/l kind \"datagram\" or \"stream\"\n"
                 "wrong_type /tenants null an object\n",
                 format_faults(faults_in(document)).c_str());
}

TEST(configuration_check, a_service_without_an_active_target_is_refused)
{
    at(document, "data_centres", "a", "state") = "draining";
    CHECK_TRUE(faults_in(document).empty());

    at(document, "pools", "p", "targets", "t2", "state") = "draining";
    STRCMP_EQUAL("no_active_target /services/s s p\n",
                 format_faults(faults_in(document)).c_str());
}

TEST(configuration_check, names_numbers_and_words_are_checked)
{
    at(document, "tenants", "x/y", "id") = 1;
    at(document, "classes", "c", "id") = 65536;
    at(document, "pools", "p", "targets", "t1", "state") = "drained";
    const boost::json::value other = at(document, "pools", "p", "targets", "t2");
    at(document, "pools", "q", "targets", "t1") = other;

    STRCMP_EQUAL("unknown_word /pools/p/targets/t1/state drained \"active\" or "
                 "\"draining\"\n"
                 "duplicate_address /pools/q/targets/t1/address 127.0.0.1:9002 "
                 "/pools/p/targets/t2\n"
                 "duplicate_name /pools/q/targets/t1 t1 /pools/p/targets/t1\n"
                 "malformed_name /tenants/x~1y x/y \n"
                 "duplicate_id /tenants/x~1y/id 1 \"n\"\n"
                 "out_of_range /classes/c/id 65536 \n",
                 format_faults(faults_in(document)).c_str());
}

TEST(configuration_check, names_with_equal_derived_ids_are_refused)
{
    // A search over names found this pair, which hashes to the same 32-bit id.
    const char* const first = "t37068";
    const char* const second = "t63194";
    at(document, "pools", "p", "targets", first) =
        boost::json::object{{"address", "127.0.0.1:9003"}, {"data_centre", "a"}};
    at(document, "pools", "p", "targets", second) =
        boost::json::object{{"address", "127.0.0.1:9004"}, {"data_centre", "a"}};
    LONGS_EQUAL(id_of<target_id>(first).value, id_of<target_id>(second).value);

    STRCMP_EQUAL("name_collision /pools/p/targets/t63194 t63194 t37068\n",
                 format_faults(faults_in(document)).c_str());
}

TEST(configuration_check, a_document_larger_than_a_stored_value_is_refused)
{
    auto& targets = at(document, "pools", "p", "targets").get_object();
    for (int i = 0; i < 20'000; ++i)
    {
        targets["target-" + std::to_string(i)] =
            boost::json::object{{"address", "127.1." + std::to_string(i / 250) + '.' +
                                                std::to_string(i % 250) + ":9000"},
                                {"data_centre", "a"}};
    }
    const fault_list faults = faults_in(document);

    CHECK_TRUE(!faults.empty());
    CHECK_TRUE(faults[0].kind == fault_kind::too_large);
    LONGS_EQUAL(max_stored_value_bytes, faults[0].maximum);
}

TEST(configuration_check, every_fault_has_a_description_and_a_remedy)
{
    for (const configuration_fault& each : faults_in(read_sample("five-faults.json")))
    {
        CHECK_TRUE(!description(each).empty());
        CHECK_TRUE(!remedy(each).empty());
        CHECK_TRUE(description(each).find('$') == std::string::npos);
        CHECK_TRUE(remedy(each).find('$') == std::string::npos);
    }
}

TEST(configuration_check, a_latency_goal_is_optional_and_bounded)
{
    CHECK_TRUE(faults_in(document).empty());
    at(document, "services", "s", "latency_goal_ms") = 250;
    CHECK_TRUE(faults_in(document).empty());
    at(document, "services", "s", "latency_goal_ms") = 600'001;
    STRCMP_EQUAL("out_of_range /services/s/latency_goal_ms 600001 \n",
                 format_faults(faults_in(document)).c_str());
}
