/// \file
/// Fuzzes the reader of documents and of stored configurations. What is accepted must
/// keep every promise of model/configuration.hpp; what is refused must say why.

#include "runner.hpp"

#include <kumquatpath/model/configuration_check.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>
#include <kumquatpath/model/configuration_query.hpp>

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iostream>
#include <set>

namespace
{

using namespace kumquatpath;
using fuzz::require;
namespace leaf = boost::leaf;

std::uint64_t accepted_documents = 0;
std::uint64_t accepted_envelopes = 0;

void require_references(const configuration& whole)
{
    std::set<data_centre_id> data_centres;
    for (const data_centre& each : whole.data_centres)
    {
        data_centres.insert(each.id);
    }
    for (const target_pool& pool : whole.pools)
    {
        require(!pool.targets.empty(), "a pool has targets");
        for (const target& each : pool.targets)
        {
            require(data_centres.contains(each.data_centre), "a target is somewhere");
        }
    }
    std::set<service_id> services;
    for (const service& each : whole.services)
    {
        require(each.pool < whole.pools.size(), "a service has a pool");
        require(!active_target_names(whole, whole.pools[each.pool]).empty(),
                "a service has an active target");
        services.insert(each.id);
    }
    std::set<endpoint> addresses;
    for (const listener& each : whole.listeners)
    {
        require(services.contains(each.service), "a listener has a service");
        require(addresses.insert(each.address).second, "listeners share no address");
    }
}

/// Stores a document that was accepted, and reads it back.
leaf::result<void> require_round_trip(const std::string& text)
{
    auto document = boost::json::parse(text);
    BOOST_LEAF_AUTO(envelope,
                    next_envelope(nullptr, {.document = std::move(document)}, {}));
    BOOST_LEAF_AUTO(written, write_envelope(envelope));
    BOOST_LEAF_AUTO(read, parse_envelope(written));
    require(read.document == envelope.document, "a document is stored as it is");
    return {};
}

/// Runs \p action, which accepts an input or refuses it with faults.
template <class Action>
void run_reader(const Action& action)
{
    leaf::try_handle_all(
        action,
        [](const configuration_faults& failure)
        {
            require(!failure.faults.empty(), "a refusal has a fault");
            for (const configuration_fault& each : failure.faults)
            {
                require(!description(each).empty(), "a fault has a description");
                require(!remedy(each).empty(), "a fault has a remedy");
            }
        },
        [] { require(false, "a reader fails with faults only"); });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    run_reader(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(whole, check_document(text));
            require_references(whole);
            ++accepted_documents;
            return require_round_trip(text);
        });
    run_reader(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(whole, parse_stored_configuration(text));
            require_references(whole);
            ++accepted_envelopes;
            return {};
        });
    return 0;
}

#ifndef KUMQUATPATH_LIBFUZZER
int main(int argc, char** argv)
{
    const std::string document =
        R"({"format":1,"data_centres":{"a":{"region":"r"},"b":{"region":"r",)"
        R"("state":"draining"}},"pools":{"p":{"targets":{"t1":{"address":)"
        R"("127.0.0.1:9001","data_centre":"a","connections":6000},"t2":{"address":)"
        R"("127.0.0.1:9002","data_centre":"b","state":"active"}}}},"services":{"s":)"
        R"({"pool":"p","flow_lifetime_s":100,"requests_per_second":5}},"listeners":)"
        R"({"l":{"address":"127.0.0.1:7001","kind":"datagram","service":"s"}},)"
        R"("tenants":{"n":{"id":1}},"classes":{"c":{"id":1,"priority":2,)"
        R"("repeatable":true,"deadline_ms":2000}},"instances":{"i":{"state":)"
        R"("draining"}}})";
    const std::string envelope =
        R"({"generation":7,"submission":"x","author":"y","submitted_at_ms":1000,)"
        R"("retired":{"t3":900},)"
        R"("document":)" +
        document + '}';
    const kumquatpath::fuzz::corpus from = {.inputs = {document, envelope},
                                            .dictionary = {"{",
                                                           "}",
                                                           "[",
                                                           "]",
                                                           "\"",
                                                           ":",
                                                           ",",
                                                           "null",
                                                           "true",
                                                           "0",
                                                           "1",
                                                           "-1",
                                                           "1e9",
                                                           "1e999",
                                                           "0.5",
                                                           "65536",
                                                           "99999999",
                                                           "18446744073709551616",
                                                           "\"a\"",
                                                           "\"b\"",
                                                           "\"t1\"",
                                                           "\"t2\"",
                                                           "\"s\"",
                                                           "\"p\"",
                                                           "\"\\u0000\"",
                                                           "\"\\ud800\"",
                                                           "\xff",
                                                           "\"x/~\"",
                                                           "\"127.0.0.1:7001\"",
                                                           "\"127.0.0.1:9001\"",
                                                           "\"stream\"",
                                                           "\"datagram\"",
                                                           "\"active\"",
                                                           "\"draining\"",
                                                           "\"region\"",
                                                           "\"state\"",
                                                           "\"targets\"",
                                                           "\"retired\"",
                                                           "\"document\"",
                                                           "\"generation\"",
                                                           "\"services\"",
                                                           "\"format\"",
                                                           "{}",
                                                           "[]",
                                                           "[[[[[[[[",
                                                           "{\"a\":{\"a\":"}};
    const int code = kumquatpath::fuzz::run(argc, argv, from);
    std::cout << accepted_documents << " accepted as documents, " << accepted_envelopes
              << " as stored configurations\n";
    return code;
}
#endif
