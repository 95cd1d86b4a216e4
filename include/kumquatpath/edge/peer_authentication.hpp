#ifndef KUMQUATPATH_EDGE_PEER_AUTHENTICATION_HPP
#define KUMQUATPATH_EDGE_PEER_AUTHENTICATION_HPP

/// \file
/// Authentication of messages between entry instances. Each message starts with a message
/// authentication code (MAC): the 16-byte keyed BLAKE2b hash of the bytes that follow,
/// under the key that the instances share.

#include <kumquatpath/edge/decode_failure.hpp>
#include <kumquatpath/model/bytes.hpp>

#include <boost/leaf/result.hpp>

#include <array>
#include <string_view>
#include <vector>

namespace kumquatpath
{

/// The key that all instances of one fleet share.
using peer_key = std::array<unsigned char, 32>;

/// Verifies the MAC at the start of \p message and returns a view of the bytes that
/// follow it. Fails with decode_failure::unauthenticated, or with
/// decode_failure::malformed if no bytes follow the MAC or \p message is longer than \p
/// max_bytes.
boost::leaf::result<byte_view> verify_mac(byte_view message, const peer_key& key,
                                          std::size_t max_bytes);

/// Appends the MAC of \p bytes, followed by \p bytes, to \p out.
void append_with_mac(byte_view bytes, const peer_key& key, std::vector<std::byte>& out);

/// A failure of parse_peer_key(): the text does not consist of 64 hexadecimal digits.
struct malformed_peer_key
{
};

/// Parses a key of 64 hexadecimal digits. Fails with malformed_peer_key.
boost::leaf::result<peer_key> parse_peer_key(std::string_view text);

} // namespace kumquatpath

#endif
