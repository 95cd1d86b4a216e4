#ifndef KUMQUATPATH_CLIENT_FLEET_HPP
#define KUMQUATPATH_CLIENT_FLEET_HPP

/// \file
/// What the instances tell their operators, and how far a generation has got among them.

#include <kumquatpath/edge/key_value_store.hpp>
#include <kumquatpath/model/ids.hpp>

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// What one instance answered, or that it didn't.
struct instance_answer
{
    platform_instance instance;
    /// The JSON that it sent; nothing when it was not reached or not understood.
    std::optional<boost::json::value> body;
};

/// Asks every instance for \p path on its operators' port, several at a time, and waits
/// for each for at most \p timeout.
std::vector<instance_answer> ask_instances(const std::vector<platform_instance>& list,
                                           std::string_view path,
                                           std::chrono::milliseconds timeout);

/// Another instance as one instance sees it.
struct seen_member
{
    std::string instance;
    std::string state;
};

/// A drain in progress on one instance.
struct seen_drain
{
    std::string kind;
    std::string name;
    std::string waits_for;
};

/// What one instance says of itself.
struct instance_report
{
    /// The latest generation that it has accepted.
    kumquatpath::generation generation;
    /// The generation that its packets follow.
    kumquatpath::generation switched;
    bool is_leaving = false;
    /// Whether it may claim submissions that may not be repeated; it refuses them if not.
    bool may_claim = true;
    std::vector<seen_member> members;
    std::vector<seen_drain> drains;
};

/// One instance, and its report if it could be had.
struct instance_status
{
    platform_instance instance;
    std::optional<instance_report> report;
};

/// Reads the report in each answer; one that is not understood is left out.
std::vector<instance_status> read_statuses(const std::vector<instance_answer>& answers);

/// How far a generation has got.
struct generation_progress
{
    std::size_t in_force = 0;
    /// Instances that were reached and don't have it in force yet, by name.
    std::vector<std::string> behind;
    /// Instances that were not reached, by name.
    std::vector<std::string> unreachable;
};

/// Returns how far \p wanted, or a later generation, has got.
generation_progress progress_of(const std::vector<instance_status>& statuses,
                                generation wanted);

/// Returns whether every instance that was reached, and at least one, has it in force.
bool is_complete(const generation_progress& progress);

/// Returns the latest generation that any instance has accepted.
generation latest_of(const std::vector<instance_status>& statuses);

/// Prints a table of the instances, their members and drains, or JSON. \p in_force is the
/// latest generation that is known.
void print_status(std::ostream& out, const std::vector<instance_status>& statuses,
                  generation in_force, bool as_json);

/// Prints "generation 7 is in force on 8 of 9 instances" with those that are missing.
void print_progress(std::ostream& out, const generation_progress& progress,
                    generation wanted);

} // namespace kumquatpath

#endif
