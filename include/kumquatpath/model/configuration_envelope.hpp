#ifndef KUMQUATPATH_MODEL_CONFIGURATION_ENVELOPE_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_ENVELOPE_HPP

/// \file
/// The value that the platform's store holds for an accepted configuration: the
/// operators' document with its generation, its submission and the targets that recently
/// stopped accepting flows.

#include <kumquatpath/model/configuration.hpp>
#include <kumquatpath/model/configuration_fault.hpp>

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The key of the configuration in force in the platform's store.
inline constexpr std::string_view configuration_key = "kumquatpath/configuration";

/// How long a retired target stays listed beyond the flow lifetime. The margin covers the
/// difference between the wall clocks of the clients.
inline constexpr std::chrono::seconds retention_clock_margin{60};

/// Wall-clock times by the names of targets.
using named_times = std::map<std::string, wall_time, std::less<>>;

/// The targets that no longer accept new flows but may still hold open ones: by name, the
/// last time at which each accepted new flows.
using retired_targets = named_times;

/// The targets that began to take new flows and warm up: by name, when they began.
using start_times = named_times;

/// An accepted configuration as the store holds it.
struct configuration_envelope
{
    kumquatpath::generation generation;
    std::string submission;
    std::string author;
    wall_time submitted_at;
    retired_targets retired;
    start_times warming;
    boost::json::value document;
    /// The configuration read from the document, including generation and submission.
    configuration checked_configuration;
};

/// An operator's request to put a document into force.
struct submission_request
{
    boost::json::value document;
    std::string submission;
    std::string author;
    /// Whether the change may remove a target that may hold open flows, or change its
    /// address.
    bool may_cut_flows = false;
};

/// A failure of next_envelope(): the change removes targets that may hold open flows, or
/// changes their addresses.
struct flows_at_risk
{
    /// The names of the targets, in ascending order.
    std::vector<std::string> targets;
};

/// Returns the envelope that follows \p previous (null if there is none) when \p request
/// is submitted at \p now.
///
/// Fails with configuration_faults, or with flows_at_risk unless the request permits such
/// a change. The generation is one more than the previous one. A target that stops
/// accepting new flows stays listed as retired for the longest flow lifetime plus
/// retention_clock_margin. A target that begins to take new flows is listed as warming
/// until the warm-up of its service is over, except those of the first envelope: they may
/// have served for long. The submission time never decreases from one envelope to the
/// next, even if the clock of a client is behind.
boost::leaf::result<configuration_envelope>
next_envelope(const configuration_envelope* previous, submission_request request,
              wall_time now);

/// Serialises \p envelope as JSON. Fails with configuration_faults if the text is larger
/// than the largest value that the platform's store accepts.
boost::leaf::result<std::string> write_envelope(const configuration_envelope& envelope);

/// Parses and checks the output of write_envelope(). Fails with configuration_faults.
boost::leaf::result<configuration_envelope> parse_envelope(std::string_view text);

/// Parses and checks the output of write_envelope(), and returns only the configuration.
/// Fails with configuration_faults.
boost::leaf::result<configuration> parse_stored_configuration(std::string_view text);

} // namespace kumquatpath

#endif
