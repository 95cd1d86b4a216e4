#include <kumquatpath/edge/peer_seal.hpp>

#include <sodium.h>

namespace kumquatpath
{
namespace
{

constexpr std::size_t hash_size = 16;
using hash_bytes = std::array<unsigned char, hash_size>;

hash_bytes keyed_hash(payload_view bytes, const peer_key& key)
{
    hash_bytes hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
                       key.data(), key.size());
    return hash;
}

bool is_authentic(payload_view message, const peer_key& key)
{
    const hash_bytes expected = keyed_hash(message.subspan(hash_size), key);
    return sodium_memcmp(expected.data(), message.data(), hash_size) == 0;
}

} // namespace

boost::leaf::result<payload_view> unseal(payload_view message, const peer_key& key,
                                         std::size_t longest)
{
    if (message.size() <= hash_size || message.size() > longest)
    {
        return boost::leaf::new_error(message_fault::malformed);
    }
    if (!is_authentic(message, key))
    {
        return boost::leaf::new_error(message_fault::unauthenticated);
    }
    return message.subspan(hash_size);
}

void seal(payload_view bytes, const peer_key& key, std::vector<std::byte>& out)
{
    const hash_bytes hash = keyed_hash(bytes, key);
    const auto hash_view = std::as_bytes(std::span(hash));
    out.insert(out.end(), hash_view.begin(), hash_view.end());
    out.insert(out.end(), bytes.begin(), bytes.end());
}

boost::leaf::result<peer_key> parse_peer_key(std::string_view text)
{
    peer_key key{};
    std::size_t read = 0;
    const int status = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(),
                                      nullptr, &read, nullptr);
    if (status != 0 || read != key.size() || text.size() != 2 * key.size())
    {
        return boost::leaf::new_error(malformed_peer_key{});
    }
    return key;
}

} // namespace kumquatpath
