#include "status.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace kumquatpath
{

std::string status_page(const daemon_settings& settings, const entry_instance& self,
                        time_point now)
{
    boost::json::array peers;
    for (const auto& [instance, peer] : self.fleet.peers)
    {
        const endpoint status_endpoint{.address = peer.address.address,
                                       .port = settings.metrics.port};
        peers.emplace_back(to_string(status_endpoint));
    }
    boost::json::array evacuations;
    for (const known_evacuation& each : evacuations_in_force(self.evacuations))
    {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - each.since);
        evacuations.push_back(
            boost::json::object{{"data_centre", name_of(each.change)},
                                {"revision", each.change.revision.value},
                                {"age_ms", age.count()}});
    }
    const auto& targets = self.directory.targets;
    const auto& stats = self.steering.selector.stats;
    const auto accepting_targets =
        std::count_if(targets.begin(), targets.end(),
                      [&](const known_target& each)
                      { return each.is_used && takes_new_flows(each, now); });
    const auto suspects = std::count_if(stats.begin(), stats.end(), is_suspect);
    const auto& table = self.configuration.table;
    return boost::json::serialize(boost::json::object{
        {"instance", settings.name},
        {"data_centre", settings.data_centre},
        {"generation", table ? table->generation.value : 0},
        {"revision", self.configuration.revision.value},
        {"era", self.directory.position.era.value},
        {"position", self.directory.position.value},
        {"configuration_ahead_of_store", is_configuration_ahead_of_store(self)},
        {"state_age_ms", state_age(self, now).count()},
        {"ready", is_ready(self)},
        {"leaving", self.leaving_since.has_value()},
        {"flows", self.steering.flows.size()},
        {"targets", accepting_targets},
        {"suspects", suspects},
        {"evacuations", std::move(evacuations)},
        {"peers", std::move(peers)}});
}

} // namespace kumquatpath
