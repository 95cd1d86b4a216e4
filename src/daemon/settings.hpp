#ifndef KUMQUATPATH_DAEMON_SETTINGS_HPP
#define KUMQUATPATH_DAEMON_SETTINGS_HPP

/// \file
/// The settings file of one entry instance, in JSON.

#include <kumquatpath/edge/peer_authentication.hpp>
#include <kumquatpath/model/endpoint.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace kumquatpath
{

/// The packet format and the kind of configuration that an instance uses.
enum class served_interface : std::uint8_t
{
    /// Kumquatpath's native interface, "own" in the settings file: the packets of
    /// wire/packet.fbs and the configuration that the kumquatpath client publishes.
    native,
    /// The platform's packet header, the configuration that its operators write, and the
    /// targets that its hosts announce.
    platform,
};

/// The settings of one entry instance.
struct daemon_settings
{
    std::string name;
    std::string data_centre;
    /// UDP address to which the fabric sends callers' packets.
    endpoint data;
    /// HTTP address and path of the readiness check that the fabric calls.
    endpoint ready;
    std::string ready_path;
    /// HTTP address of /metrics and /v1/status.
    endpoint metrics;
    /// Address for messages from peers, over UDP and TCP. All instances use the same
    /// port.
    endpoint peer;
    peer_key key{};
    /// Addresses at which other instances may run. The ports are ignored; the port of
    /// \c peer is used.
    std::vector<endpoint> seeds;
    /// Address of the store that holds the shared state.
    endpoint state;
    served_interface interface = served_interface::native;
    /// New flows go to targets in proportion to their estimated speeds.
    bool uses_target_speeds = false;
    /// Waiting openings are admitted by the priorities of the configuration; see
    /// admission_order.hpp.
    bool uses_priorities = false;
    /// The limit of second tries in percent of a listener's openings; 0: off.
    double second_tries_percent = 0;
    /// Evidence about targets is reported to local peers, and theirs is used.
    bool shares_evidence = false;
    /// Flows whose target has ended are reset; only with served_interface::platform.
    bool resets_ended_flows = false;
    /// New flows leave the data centre by measured times; see remote_placement.hpp.
    bool uses_remote_placement = false;
};

/// An error in a settings file.
struct settings_fault
{
    /// The invalid key; empty if the file as a whole is invalid.
    std::string key;
    /// A description of what is valid there.
    std::string expected;
};

/// Parses the settings file \p text. Fails with settings_fault for the first error.
boost::leaf::result<daemon_settings> read_settings(std::string_view text);

} // namespace kumquatpath

#endif
