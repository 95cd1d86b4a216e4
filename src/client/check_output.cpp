/// \file
/// Prints the result of check, as text or as JSON.

#include "client/check.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <ostream>
#include <string>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

std::string_view to_string(not_compared reason)
{
    switch (reason)
    {
    case not_compared::no_platform:
        return "no_platform";
    case not_compared::malformed_address:
        return "malformed_address";
    case not_compared::store_unreachable:
        return "store_unreachable";
    case not_compared::store_timeout:
        return "store_timeout";
    case not_compared::store_malformed_answer:
        return "store_malformed_answer";
    case not_compared::invalid_configuration:
        break;
    }
    return "invalid_configuration";
}

std::string_view description(not_compared reason)
{
    switch (reason)
    {
    case not_compared::no_platform:
        return "no platform is set; pass --platform or set KUMQUATPATH_PLATFORM.";
    case not_compared::malformed_address:
        return "the platform's address is not of the form ip:port.";
    case not_compared::store_unreachable:
        return "the platform cannot be reached.";
    case not_compared::store_timeout:
        return "the platform did not respond in time.";
    case not_compared::store_malformed_answer:
        return "the platform's response is malformed.";
    case not_compared::invalid_configuration:
        break;
    }
    return "the configuration in force has faults.";
}

json::array to_json(const warning_list& warnings)
{
    json::array list;
    for (const configuration_warning& each : warnings)
    {
        list.push_back(json::object{{"kind", to_string(each.kind)},
                                    {"pointer", each.pointer},
                                    {"description", each.description},
                                    {"remedy", remedy(each.kind)}});
    }
    return list;
}

json::object to_json(const comparison& compared)
{
    if (const auto* const difference = std::get_if<document_diff>(&compared))
    {
        return to_json(*difference);
    }
    const auto reason = std::get<not_compared>(compared);
    return {{"not_compared", to_string(reason)}, {"message", description(reason)}};
}

std::string warning_count(std::size_t count)
{
    return count == 0
               ? ""
               : ", " + std::to_string(count) + (count == 1 ? " warning" : " warnings");
}

void print_comparison(std::ostream& out, const comparison& compared)
{
    if (const auto* const difference = std::get_if<document_diff>(&compared))
    {
        print_diff(out, *difference, false);
        return;
    }
    out << "Not compared with the configuration in force: "
        << description(std::get<not_compared>(compared)) << '\n';
}

} // namespace

void print_check(std::ostream& out, std::string_view file_name,
                 const check_result& result, bool as_json)
{
    if (as_json)
    {
        out << json::serialize(json::object{{"faults", json::array()},
                                            {"warnings", to_json(result.warnings)},
                                            {"comparison", to_json(result.comparison)}})
            << '\n';
        return;
    }
    for (const configuration_warning& each : result.warnings)
    {
        out << "warning: " << each.pointer << ": " << each.description << ' '
            << remedy(each.kind) << " (" << to_string(each.kind) << ")\n";
    }
    out << file_name << ": no fault found" << warning_count(result.warnings.size())
        << '\n';
    print_comparison(out, result.comparison);
}

} // namespace kumquatpath
