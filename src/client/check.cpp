#include "client/check.hpp"

#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/leaf/handle_errors.hpp>

namespace kumquatpath
{

namespace leaf = boost::leaf;

comparison compare_if_possible(key_value_store& store, const boost::json::value& document)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<comparison>
        {
            BOOST_LEAF_AUTO(difference, difference_from_current(store, document));
            return comparison(std::move(difference));
        },
        [](const store_unreachable&)
        { return comparison(not_compared::store_unreachable); },
        [](const store_timeout&) { return comparison(not_compared::store_timeout); },
        [](const configuration_faults&)
        { return comparison(not_compared::invalid_configuration); },
        [] { return comparison(not_compared::store_malformed_answer); });
}

exit_code exit_code_of(const check_result& result, const check_demands& demands)
{
    if (demands.no_warnings && !result.warnings.empty())
    {
        return exit_code::warnings;
    }
    if (demands.comparison && std::holds_alternative<not_compared>(result.comparison))
    {
        return exit_code::platform_unavailable;
    }
    return exit_code::success;
}

} // namespace kumquatpath
