/// \file
/// Fuzzes the parsers of records in the platform's store: entries of hosts, host ids and
/// the platform's configuration, and the base64 decoder. Any input must be either parsed
/// completely or rejected.

#include "runner.hpp"

#include <platform/state_records.hpp>
#include <platform/store_protocol.hpp>

#include <iostream>

namespace
{

using namespace kumquatpath;
using namespace kumquatpath::platform;
using fuzz::require;

std::uint64_t accepted_entries = 0;
std::uint64_t accepted_configurations = 0;

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto entry = parse_host_entry({1}, text);
    accepted_entries += entry ? 1U : 0U;
    require(!entry || entry->key.value == 1, "an accepted entry has the key of its host");
    const auto table = parse_platform_configuration(text);
    accepted_configurations += table ? 1U : 0U;
    for (const auto& [listener, route] :
         table ? (*table)->routes : routing_table().routes)
    {
        require(!route.services.empty(), "every route has at least one service");
    }
    parse_host_id(text);
    const auto decoded = decode_base64(text);
    require(!decoded || decoded->size() <= size,
            "a decoded base64 value is no longer than its text");
    return 0;
}

#ifndef KUMQUATPATH_LIBFUZZER
int main(int argc, char** argv)
{
    const kumquatpath::fuzz::corpus seed_corpus = {
        .inputs =
            {R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v",)"
             R"("maxConcurrency":3,"state":"ready","warmupLeftMs":0,"sequence":1,"born":5})",
             R"({"version":7,"routes":[{"name":"a","host":"1.2.3.4","prefix":"/80/",)"
             R"("kind":"download","service":"x"}]})",
             R"({"version":7,"routes":[{"name":"a","host":"1.2.3.4","prefix":"/80/",)"
             R"("kind":"idempotent","backends":[{"service":"x","weight":1}]}]})",
             "i-7f3a91c2", "bm9kZS0x"},
        .dictionary = {"draining", "null", "-1", "1e9", "[]", "{}", "\"\"",
                       "255.255.255.255", "18446744073709551616"}};
    const int exit_code = kumquatpath::fuzz::run(argc, argv, seed_corpus);
    std::cout << accepted_entries << " read as entries, " << accepted_configurations
              << " read as configurations\n";
    return exit_code;
}
#endif
