#ifndef KUMQUATPATH_MODEL_CONFIGURATION_ENVELOPE_HPP
#define KUMQUATPATH_MODEL_CONFIGURATION_ENVELOPE_HPP

/// \file
/// The value that the platform stores for an accepted configuration: the operators'
/// document with its generation, its submission and the targets that took flows lately.

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

/// The key under which the configuration in force is stored.
inline constexpr std::string_view configuration_key = "kumquatpath/configuration";

/// How long a target that takes no new flows is remembered beyond the flow lifetime; it
/// covers the difference between wall clocks.
inline constexpr std::chrono::seconds retention_clock_margin{60};

/// When each target that takes no new flows any more last took some, by its name.
using retired_targets = std::map<std::string, wall_time, std::less<>>;

/// An accepted configuration as it is stored.
struct configuration_envelope
{
    kumquatpath::generation generation;
    std::string submission;
    std::string author;
    wall_time submitted_at;
    retired_targets retired;
    boost::json::value document;
    /// The document after its check, with generation and submission filled in.
    configuration checked_configuration;
};

/// A document that an operator submits.
struct submission_request
{
    boost::json::value document;
    std::string submission;
    std::string author;
    /// Whether the change may take a target away that open flows may rest on.
    bool may_cut_flows = false;
};

/// A failure of next_envelope(): the change removes or moves targets that open flows may
/// rest on.
struct flows_at_risk
{
    /// The targets' names, in ascending order.
    std::vector<std::string> targets;
};

/// Returns the envelope that follows \p previous (null: there is none) when \p options is
/// submitted at \p now.
///
/// Fails with configuration_faults, or flows_at_risk unless the options allow that. The
/// generation is one more than the previous one. A target that stops taking new flows is
/// remembered for the longest flow lifetime and retention_clock_margin; time never runs
/// backwards from one envelope to the next, whatever the clients' clocks say.
boost::leaf::result<configuration_envelope>
next_envelope(const configuration_envelope* previous, submission_request request,
              wall_time now);

/// Writes \p envelope as JSON. Fails with configuration_faults when the text is larger
/// than the platform's largest value.
boost::leaf::result<std::string> write_envelope(const configuration_envelope& envelope);

/// Reads and checks what write_envelope() wrote. Fails with configuration_faults.
boost::leaf::result<configuration_envelope> parse_envelope(std::string_view text);

/// Reads and checks a stored configuration. Fails with configuration_faults.
boost::leaf::result<configuration> parse_stored_configuration(std::string_view text);

} // namespace kumquatpath

#endif
