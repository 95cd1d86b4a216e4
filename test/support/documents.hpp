#ifndef KUMQUATPATH_TEST_SUPPORT_DOCUMENTS_HPP
#define KUMQUATPATH_TEST_SUPPORT_DOCUMENTS_HPP

/// \file
/// Configuration documents for tests, and access to the faults that a check reports.

#include <kumquatpath/model/configuration_check.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iterator>
#include <string>

namespace kumquatpath::test
{

/// Returns a valid document with two targets in two data centres, one service and one
/// listener.
inline boost::json::value small_document()
{
    return boost::json::parse(R"({"format":1,
        "data_centres":{"a":{"region":"r"},"b":{"region":"r"}},
        "pools":{"p":{"targets":{"t1":{"address":"127.0.0.1:9001","data_centre":"a"},
                                 "t2":{"address":"127.0.0.1:9002","data_centre":"b"}}}},
        "services":{"s":{"pool":"p","flow_lifetime_s":100}},
        "listeners":{"l":{"address":"127.0.0.1:7001","kind":"datagram","service":"s"}},
        "tenants":{"n":{"id":1}},
        "classes":{"c":{"id":1}}})");
}

/// Returns the value at the path \p keys so that a test can change it. Adds missing keys.
template <class... Keys>
boost::json::value& at(boost::json::value& document, Keys... keys)
{
    boost::json::value* value = &document;
    const auto step = [&value](const char* key)
    {
        value =
            &(value->is_object() ? value->get_object() : value->emplace_object())[key];
    };
    (step(keys), ...);
    return *value;
}

/// Returns the contents of the sample file \p name.
inline std::string read_sample(const std::string& name)
{
    std::ifstream file(std::string(KUMQUATPATH_SAMPLES) + '/' + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the faults that \p action fails with; an empty list if it succeeds or fails in
/// another way.
template <class Action>
fault_list faults_of(const Action& action)
{
    fault_list found;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void>
        {
            BOOST_LEAF_CHECK(action());
            return {};
        },
        [&](configuration_faults& failure) { found = std::move(failure.faults); }, [] {});
    return found;
}

} // namespace kumquatpath::test

#endif
