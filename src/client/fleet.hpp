#ifndef KUMQUATPATH_CLIENT_FLEET_HPP
#define KUMQUATPATH_CLIENT_FLEET_HPP

/// \file
/// Collects the status of all instances and shows which of them have a generation in
/// force.
///
/// Each instance lists its peers, so one instance that responds is enough to find the
/// others.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// An evacuation in force, as an instance reports it.
struct evacuation_report
{
    /// The data centre; empty if the instance does not know its name.
    std::string data_centre;
    /// The number of the change in the store that put it in force or repeated it.
    std::uint64_t revision = 0;
    /// The time since the instance learnt of it.
    std::chrono::milliseconds age{0};
};

/// The contents of an instance's /v1/status page.
struct instance_report
{
    std::string name;
    std::string data_centre;
    /// The generation that the instance routes packets by; 0 if it has none yet.
    kumquatpath::generation generation;
    /// The time since the instance's configuration and targets were last known to be
    /// current.
    std::chrono::milliseconds state_age{0};
    /// The store came back from an older copy, without the generation in force.
    bool is_ahead_of_store = false;
    bool is_ready = false;
    bool is_leaving = false;
    /// The number of flows that the instance tracks.
    std::uint64_t flows = 0;
    /// The number of targets that take new flows.
    std::uint64_t targets = 0;
    /// The number of targets that leave openings unanswered.
    std::uint64_t suspects = 0;
    std::vector<evacuation_report> evacuations;
    /// The status addresses of the peers that the instance knows.
    std::vector<endpoint> peers;
};

/// An instance's status address, and its report if it responded with a valid one.
struct instance_status
{
    endpoint address;
    std::optional<instance_report> report;
};

/// Parses the JSON of a /v1/status page. Returns nothing if \p page is not a JSON object
/// with a "generation"; any other member that is absent or has the wrong type gets its
/// default value.
std::optional<instance_report> parse_report(std::string_view page);

/// Reads the status of \p seeds and of every peer that is found through them. Each HTTP
/// request has the time limit \p timeout. Returns the instances sorted by name.
std::vector<instance_status> query_fleet(const std::vector<endpoint>& seeds,
                                         std::chrono::milliseconds timeout);

/// Reads \p path from each of \p instances and returns the response bodies in the same
/// order. The body is empty if the request fails or its status is not 200.
std::vector<std::string> fetch_pages(const std::vector<instance_status>& instances,
                                     std::string_view path,
                                     std::chrono::milliseconds timeout);

/// Returns the instance's name, or its address if there is no report.
std::string name_of(const instance_status& status);

/// Which instances have a generation in force.
struct generation_progress
{
    /// The number of instances that have the generation, or a later one, in force.
    std::size_t in_force = 0;
    /// The names of the instances that have it in force although the store came back from
    /// an older copy without it.
    std::vector<std::string> not_stored;
    /// The names of the instances that responded and still have an earlier generation.
    std::vector<std::string> behind;
    /// The addresses of the instances that did not respond with a valid report.
    std::vector<std::string> unreachable;
};

/// Groups the instances by whether they have \p wanted, or a later generation, in force.
generation_progress progress_of(const std::vector<instance_status>& statuses,
                                generation wanted);

/// Returns whether at least one instance responded and all that responded have the
/// generation in force, which the store still has.
bool is_complete(const generation_progress& progress);

/// Returns the latest generation that any instance has in force; 0 if there is none.
generation latest_generation(const std::vector<instance_status>& statuses);

/// Prints the instances as a table or as JSON, with \p in_force as the latest generation
/// that is known. The table marks instances with an earlier generation as behind. Below
/// it, each evacuation in force has a line with the number of instances that report it.
void print_status(std::ostream& out, const std::vector<instance_status>& statuses,
                  generation in_force, bool as_json);

/// Prints a line such as "generation 7 is in force on 8 of 9 instances", then the
/// instances that are behind and those that were not reached.
void print_progress(std::ostream& out, const generation_progress& progress,
                    generation wanted);

} // namespace kumquatpath

#endif
