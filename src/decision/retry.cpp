#include <kumquatpath/decision/retry.hpp>

#include <algorithm>

namespace kumquatpath
{

void earn_retry(retry_budgets& budgets, service_id service, class_id traffic_class)
{
    const std::pair key(service, traffic_class);
    const auto found = budgets.saved.find(key);
    if (found != budgets.saved.end())
    {
        const double earned = found->second + budgets.options.earned_per_try;
        found->second = std::min(budgets.options.most_saved, earned);
    }
    else if (budgets.saved.size() < budgets.options.most_budgets)
    {
        budgets.saved.emplace(key, budgets.options.earned_per_try);
    }
}

bool take_retry(retry_budgets& budgets, service_id service, class_id traffic_class)
{
    const auto found = budgets.saved.find({service, traffic_class});
    if (found == budgets.saved.end() || found->second < 1)
    {
        return false;
    }
    found->second -= 1;
    return true;
}

} // namespace kumquatpath
