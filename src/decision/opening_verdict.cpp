#include <kumquatpath/decision/opening_verdict.hpp>
#include <kumquatpath/decision/target_availability.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// Returns whether a target of \p service takes new flows without a warm-up limit.
bool has_target_without_limit(const target_directory& directory, service_id service,
                              const warm_up_policy* warm_up, time_point now)
{
    const auto candidates = targets_of(directory, service);
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](target_index index)
                       {
                           const known_target& each = directory.targets[index];
                           return takes_new_flows(each, now) &&
                                  !has_warm_up_limit(each, warm_up, now);
                       });
}

} // namespace

steering_verdict verdict_without_target(const target_directory& directory,
                                        service_id service, const warm_up_policy* warm_up,
                                        time_point now)
{
    switch (availability_of(directory, service, now))
    {
    case target_availability::available:
        return has_target_without_limit(directory, service, warm_up, now)
                   ? steering_verdict::wait
                   : steering_verdict::warm_up_limit;
    case target_availability::evacuated:
        return steering_verdict::evacuated;
    case target_availability::none:
        break;
    }
    return steering_verdict::no_target;
}

bool is_limited_since_placement(const routing_table& table,
                                const target_directory& directory,
                                const tracked_flow& flow, time_point now)
{
    const known_target& target = directory.targets[flow.target];
    return flow.incarnation != target.record.incarnation &&
           has_warm_up_limit(target, find_warm_up_policy(table, target.record.service),
                             now);
}

} // namespace kumquatpath
