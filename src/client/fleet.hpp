#ifndef KUMQUATPATH_CLIENT_FLEET_HPP
#define KUMQUATPATH_CLIENT_FLEET_HPP

/// \file
/// What the instances tell their operators, and how far a generation has got among them.
///
/// One instance is enough to find all: each names the peers that it hears.

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

/// What one instance says of itself.
struct instance_report
{
    std::string name;
    std::string data_centre;
    /// The generation that its packets follow; 0 before the first.
    kumquatpath::generation generation;
    /// How long ago its view of configuration and targets was known to be true.
    std::chrono::milliseconds state_age{0};
    bool is_ready = false;
    bool is_leaving = false;
    std::uint64_t flows = 0;
    std::uint64_t targets = 0;
    /// Targets that leave openings unanswered.
    std::uint64_t suspects = 0;
    /// Where the peers that it hears answer their operators.
    std::vector<endpoint> peers;
};

/// One instance, and its report if it could be had.
struct instance_status
{
    endpoint address;
    std::optional<instance_report> report;
};

/// Reads the page that an instance serves; nothing if it isn't understood.
std::optional<instance_report> parse_report(std::string_view page);

/// Asks \p seeds and every peer that they name, and waits for each for at most \p
/// timeout.
std::vector<instance_status> query_fleet(const std::vector<endpoint>& seeds,
                                         std::chrono::milliseconds timeout);

/// Returns the text of \p path on each of \p instances; empty where none came.
std::vector<std::string> fetch_pages(const std::vector<instance_status>& instances,
                                     std::string_view path,
                                     std::chrono::milliseconds timeout);

/// Returns the instance's name, or its address if it did not answer.
std::string name_of(const instance_status& status);

/// How far a generation has got.
struct generation_progress
{
    std::size_t in_force = 0;
    /// Instances that answered and don't have it in force yet, by name.
    std::vector<std::string> behind;
    /// Instances that did not answer, by address.
    std::vector<std::string> unreachable;
};

/// Returns how far \p wanted, or a later generation, has got.
generation_progress progress_of(const std::vector<instance_status>& statuses,
                                generation wanted);

/// Returns whether every instance that answered, and at least one, has it in force.
bool is_complete(const generation_progress& progress);

/// Returns the latest generation that any instance has in force.
generation latest_generation(const std::vector<instance_status>& statuses);

/// Prints a table of the instances, or JSON. \p in_force is the latest generation that is
/// known.
void print_status(std::ostream& out, const std::vector<instance_status>& statuses,
                  generation in_force, bool as_json);

/// Prints "generation 7 is in force on 8 of 9 instances" with those that are missing.
void print_progress(std::ostream& out, const generation_progress& progress,
                    generation wanted);

} // namespace kumquatpath

#endif
