#ifndef KUMQUATPATH_EDGE_PEER_SEAL_HPP
#define KUMQUATPATH_EDGE_PEER_SEAL_HPP

/// \file
/// The keyed hash before each message between instances: 16 bytes of BLAKE2b, keyed with
/// the fleet's shared key, over the bytes that follow.

#include <kumquatpath/edge/message_fault.hpp>
#include <kumquatpath/model/bytes.hpp>

#include <boost/leaf/result.hpp>

#include <array>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The key that all instances of one fleet share.
using peer_key = std::array<unsigned char, 32>;

/// Returns the bytes that \p message seals, which point into it. Fails with
/// message_fault::unauthenticated, or message_fault::malformed if the message is empty or
/// longer than \p longest bytes.
boost::leaf::result<payload_view> unseal(payload_view message, const peer_key& key,
                                         std::size_t longest);

/// Appends \p bytes behind their hash to \p out.
void seal(payload_view bytes, const peer_key& key, std::vector<std::byte>& out);

/// The failure of parse_peer_key(): the text is not 64 hexadecimal digits.
struct malformed_peer_key
{
};

/// Reads a key of 64 hexadecimal digits.
boost::leaf::result<peer_key> parse_peer_key(std::string_view text);

} // namespace kumquatpath

#endif
