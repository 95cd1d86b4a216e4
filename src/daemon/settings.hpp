#ifndef KUMQUATPATH_DAEMON_SETTINGS_HPP
#define KUMQUATPATH_DAEMON_SETTINGS_HPP

/// \file
/// What one entry instance is told when it starts: a JSON file.

#include <kumquatpath/edge/peer_authentication.hpp>
#include <kumquatpath/model/endpoint.hpp>

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace kumquatpath
{

/// Which packets and which configuration an instance interface.
enum class served_interface : std::uint8_t
{
    /// The packets of wire/packet.fbs, and what kumquatpath's client publishes.
    own,
    /// The users' platform: its packets, its operators' configuration, its hosts.
    platform,
};

/// The settings of one entry instance.
struct daemon_settings
{
    std::string name;
    std::string data_centre;
    /// Where the fabric sends callers' packets.
    endpoint data;
    /// Where the fabric asks whether the instance is ready, and under which path.
    endpoint ready;
    std::string ready_path;
    /// Where metrics and the status are served.
    endpoint metrics;
    /// Where peers are heard, over UDP and TCP; the port is the same on all instances.
    endpoint peer;
    peer_key key{};
    /// Machines on which peers may be found; their ports are not used.
    std::vector<endpoint> seeds;
    /// Where the shared state is kept.
    endpoint state;
    served_interface interface = served_interface::own;
};

/// One thing that is wrong with a settings file.
struct settings_fault
{
    /// The key at fault, empty for the file itself.
    std::string key;
    /// What was expected there.
    std::string expected;
};

/// Reads the settings in \p text. Fails with settings_fault.
boost::leaf::result<daemon_settings> read_settings(std::string_view text);

} // namespace kumquatpath

#endif
