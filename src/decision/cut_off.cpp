#include <kumquatpath/decision/cut_off.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

bool has_heard_remote_peer(const fleet_peers& fleet, time_point now)
{
    return std::any_of(fleet.peers.begin(), fleet.peers.end(),
                       [&](const auto& each)
                       {
                           const fleet_peer& peer = each.second;
                           return peer.data_centre != fleet.local_data_centre &&
                                  now < peer.heard_at + min_cut_off_time;
                       });
}

bool is_remote_alternative(const entry_instance& self, const known_target& target)
{
    return target.is_used && target.is_announced && !target.is_evacuated &&
           target.record.data_centre != self.fleet.local_data_centre;
}

/// Returns whether targets of other data centres may be used, and all of them are in
/// suspect data centres.
bool are_alternatives_unreachable(const entry_instance& self)
{
    bool has_alternative = false;
    for (const known_target& each : self.directory.targets)
    {
        if (!is_remote_alternative(self, each))
        {
            continue;
        }
        if (!is_data_centre_suspect(self.steering.selector, each.record.data_centre))
        {
            return false;
        }
        has_alternative = true;
    }
    return has_alternative;
}

} // namespace

bool is_data_centre_cut_off(const entry_instance& self, time_point now)
{
    const auto age = state_age(self, now);
    return age != never_read && age >= min_cut_off_time &&
           !has_heard_remote_peer(self.fleet, now) && are_alternatives_unreachable(self);
}

} // namespace kumquatpath
