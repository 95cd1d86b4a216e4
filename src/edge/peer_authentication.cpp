#include <kumquatpath/edge/peer_authentication.hpp>

#include <sodium.h>

namespace kumquatpath
{
namespace
{

constexpr std::size_t mac_size = 16;
using mac_bytes = std::array<unsigned char, mac_size>;

mac_bytes compute_mac(byte_view bytes, const peer_key& key)
{
    mac_bytes mac{};
    crypto_generichash(mac.data(), mac.size(),
                       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                       key.data(), key.size());
    return mac;
}

bool has_valid_mac(byte_view message, const peer_key& key)
{
    const mac_bytes expected = compute_mac(message.subspan(mac_size), key);
    return sodium_memcmp(expected.data(), message.data(), mac_size) == 0;
}

} // namespace

boost::leaf::result<byte_view> verify_mac(byte_view message, const peer_key& key,
                                          std::size_t max_bytes)
{
    if (message.size() <= mac_size || message.size() > max_bytes)
    {
        return boost::leaf::new_error(decode_failure::malformed);
    }
    if (!has_valid_mac(message, key))
    {
        return boost::leaf::new_error(decode_failure::unauthenticated);
    }
    return message.subspan(mac_size);
}

void append_with_mac(byte_view bytes, const peer_key& key, std::vector<std::byte>& out)
{
    const mac_bytes mac = compute_mac(bytes, key);
    const auto mac_view = std::as_bytes(std::span(mac));
    out.insert(out.end(), mac_view.begin(), mac_view.end());
    out.insert(out.end(), bytes.begin(), bytes.end());
}

boost::leaf::result<peer_key> parse_peer_key(std::string_view text)
{
    peer_key key{};
    std::size_t decoded_size = 0;
    const int status = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(),
                                      nullptr, &decoded_size, nullptr);
    if (status != 0 || decoded_size != key.size() || text.size() != 2 * key.size())
    {
        return boost::leaf::new_error(malformed_peer_key{});
    }
    return key;
}

} // namespace kumquatpath
