#ifndef KUMQUATPATH_EDGE_PEER_AUTHENTICATION_HPP
#define KUMQUATPATH_EDGE_PEER_AUTHENTICATION_HPP

/// \file
/// The keyed hash before each message between instances: 16 bytes of BLAKE2b, keyed with
/// the fleet's shared key, over the bytes that follow.

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

/// Returns the bytes that \p message seals, which point into it. Fails with
/// decode_failure::unauthenticated, or decode_failure::malformed if the message is empty
/// or longer than \p longest bytes.
boost::leaf::result<byte_view> verify_mac(byte_view message, const peer_key& key,
                                          std::size_t max_bytes);

/// Appends \p bytes behind their hash to \p out.
void append_with_mac(byte_view bytes, const peer_key& key, std::vector<std::byte>& out);

/// The failure of parse_peer_key(): the text is not 64 hexadecimal digits.
struct malformed_peer_key
{
};

/// Reads a key of 64 hexadecimal digits.
boost::leaf::result<peer_key> parse_peer_key(std::string_view text);

} // namespace kumquatpath

#endif
