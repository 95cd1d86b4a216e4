/// \file
/// Fuzzes the parsers of configuration documents and of stored configurations. An
/// accepted input must satisfy the guarantees of model/configuration.hpp. A rejected
/// input must be reported with faults that have a description and a remedy.

#include "runner.hpp"

#include <kumquatpath/model/configuration_check.hpp>
#include <kumquatpath/model/configuration_envelope.hpp>
#include <kumquatpath/model/configuration_query.hpp>
#include <kumquatpath/model/configuration_review.hpp>

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

/// Requires that the references in \p config are valid, that every pool has a target and
/// every service an active target, and that no two listeners have the same address.
void require_references(const configuration& config)
{
    std::set<data_centre_id> data_centres;
    for (const data_centre& each : config.data_centres)
    {
        data_centres.insert(each.id);
    }
    for (const target_pool& pool : config.pools)
    {
        require(!pool.targets.empty(), "every pool has at least one target");
        for (const target& each : pool.targets)
        {
            require(data_centres.contains(each.data_centre),
                    "every target is in a known data centre");
        }
    }
    std::set<service_id> services;
    for (const service& each : config.services)
    {
        require(each.pool < config.pools.size(),
                "every service refers to an existing pool");
        require(!active_target_names(config, config.pools[each.pool]).empty(),
                "every service has at least one active target");
        services.insert(each.id);
    }
    std::set<endpoint> addresses;
    for (const listener& each : config.listeners)
    {
        require(services.contains(each.service),
                "every listener refers to a known service");
        require(addresses.insert(each.address).second,
                "no two listeners have the same address");
    }
}

/// Requires that each warning about an accepted document names its place and cause.
void require_located_warnings(const configuration& config)
{
    for (const configuration_warning& each : review_configuration(config))
    {
        require(!each.pointer.empty(), "every warning has a pointer");
        require(!each.description.empty(), "every warning has a description");
    }
}

/// Requires that an accepted document stays unchanged when it is written to an envelope
/// and parsed again.
leaf::result<void> require_round_trip(const std::string& text)
{
    auto document = boost::json::parse(text);
    BOOST_LEAF_AUTO(envelope,
                    next_envelope(nullptr, {.document = std::move(document)}, {}));
    BOOST_LEAF_AUTO(stored_text, write_envelope(envelope));
    BOOST_LEAF_AUTO(stored, parse_envelope(stored_text));
    require(stored.document == envelope.document,
            "a stored document is read back unchanged");
    return {};
}

/// Runs \p action, which parses an input. If it fails, requires that it fails with faults
/// and that each fault is explained.
template <class Action>
void run_parser(const Action& action)
{
    leaf::try_handle_all(
        action,
        [](const configuration_faults& failure)
        {
            require(!failure.faults.empty(), "a rejected input has at least one fault");
            for (const configuration_fault& each : failure.faults)
            {
                require(!description(each).empty(), "every fault has a description");
                require(!remedy(each).empty(), "every fault has a remedy");
            }
        },
        [] { require(false, "a parser fails only with configuration_faults"); });
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    run_parser(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(config, check_document(text));
            require_references(config);
            require_located_warnings(config);
            ++accepted_documents;
            return require_round_trip(text);
        });
    run_parser(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(config, parse_stored_configuration(text));
            require_references(config);
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
        R"({"pool":"p","flow_lifetime_s":100,"requests_per_second":5,)"
        R"("warm_up_s":30,"warm_up_requests_per_second":5}},"listeners":)"
        R"({"l":{"address":"127.0.0.1:7001","kind":"datagram","service":"s"}},)"
        R"("tenants":{"n":{"id":1}},"classes":{"c":{"id":1,"priority":2,)"
        R"("repeatable":true,"deadline_ms":2000}},"instances":{"i":{"state":)"
        R"("draining"}}})";
    const std::string envelope =
        R"({"generation":7,"submission":"x","author":"y","submitted_at_ms":1000,)"
        R"("retired":{"t3":900},"warming":{"t1":900},)"
        R"("document":)" +
        document + '}';
    const kumquatpath::fuzz::corpus seed_corpus = {.inputs = {document, envelope},
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
    const int exit_code = kumquatpath::fuzz::run(argc, argv, seed_corpus);
    std::cout << accepted_documents << " accepted as documents, " << accepted_envelopes
              << " as stored configurations\n";
    return exit_code;
}
#endif
