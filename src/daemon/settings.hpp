#ifndef KUMQUATPATH_DAEMON_SETTINGS_HPP
#define KUMQUATPATH_DAEMON_SETTINGS_HPP

/// \file
/// What one instance is told when it starts: a JSON file, with flags over it.

#include <kumquatpath/edge/peer_codec.hpp>
#include <kumquatpath/model/endpoint.hpp>

#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kumquatpath
{

/// A range of addresses in which peers may be, such as 127.1.0.0/16.
struct network
{
    std::uint32_t address = 0;
    std::uint32_t mask = 0;
};

/// A peer that is named in the settings, to find the others through.
struct seed_peer
{
    std::string name;
    endpoint address;
};

/// The settings of one instance.
struct daemon_settings
{
    std::string name;
    std::string data_centre;
    /// Where callers' datagrams are received; unset: at each listener's own address.
    std::optional<std::uint32_t> data_address;
    /// Where packets to targets leave and answers arrive.
    endpoint egress;
    /// Where peers are heard, over UDP and TCP.
    endpoint peer;
    /// Where operators' queries are answered over HTTP.
    endpoint operators;
    /// The platform's key-value service.
    endpoint platform;
    peer_key key{};
    /// Only messages from these networks are heard on the port between instances.
    std::vector<network> peer_networks;
    std::vector<seed_peer> seeds;
};

/// One thing that is wrong with a settings file.
struct settings_fault
{
    /// The JSON pointer of the place, empty for the file itself.
    std::string pointer;
    /// What was expected there.
    std::string expected;
};

/// Reads the settings in \p text. Fails with settings_fault.
boost::leaf::result<daemon_settings> read_settings(std::string_view text);

/// Returns whether \p address is in one of \p networks.
bool is_in(const std::vector<network>& networks, std::uint32_t address);

} // namespace kumquatpath

#endif
