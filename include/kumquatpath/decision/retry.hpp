#ifndef KUMQUATPATH_DECISION_RETRY_HPP
#define KUMQUATPATH_DECISION_RETRY_HPP

/// \file
/// Retry budgets: first tries earn a share of a retry each, for each service and class.
///
/// Guarantee: over any time the retries of one budget are at most
/// retry_options::earned_per_try of its first tries, and retry_options::most_saved more.
/// So retries cannot make a flood grow. Failure: work of a service and class beyond the
/// bound of budgets is not retried.

#include <kumquatpath/model/ids.hpp>

#include <cstddef>
#include <map>
#include <utility>

namespace kumquatpath
{

/// The limits of retries.
struct retry_options
{
    /// The share of a retry that each first try earns.
    double earned_per_try = 0.1;
    /// The most retries saved up, for times at which little work comes.
    double most_saved = 10;
    /// The most budgets kept, one for each service and class.
    std::size_t most_budgets = 1024;
};

/// The retries that each service and class may still make.
struct retry_budgets
{
    retry_options options;
    std::map<std::pair<service_id, class_id>, double> saved;
};

/// Notes the first try of a request.
void earn_retry(retry_budgets& budgets, service_id service, class_id traffic_class);

/// Takes one retry out of the budget; returns false when there is none to take.
bool take_retry(retry_budgets& budgets, service_id service, class_id traffic_class);

} // namespace kumquatpath

#endif
