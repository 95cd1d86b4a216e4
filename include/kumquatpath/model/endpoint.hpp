#ifndef KUMQUATPATH_MODEL_ENDPOINT_HPP
#define KUMQUATPATH_MODEL_ENDPOINT_HPP

/// \file
/// An IPv4 address and a port as numbers, with conversions from and to text.

#include <boost/leaf/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpath
{

/// An IPv4 address and a port, both in host byte order. The default value stands for
/// "none".
struct endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend constexpr auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// The failure of parse_endpoint(): the text is not of the form "a.b.c.d:port", or the
/// port is 0.
struct malformed_endpoint
{
    std::string text;
};

/// Parses "a.b.c.d:port", with a port from 1 to 65535. Fails with malformed_endpoint.
boost::leaf::result<endpoint> parse_endpoint(std::string_view text);

/// Formats \p value as "a.b.c.d:port".
std::string to_string(const endpoint& value);

/// Packs \p value into the low 48 bits of an integer; 0 stands for "none".
constexpr std::uint64_t pack(const endpoint& value) noexcept
{
    return (static_cast<std::uint64_t>(value.address) << 16U) | value.port;
}

/// Reverses pack().
constexpr endpoint unpack_endpoint(std::uint64_t packed) noexcept
{
    return {.address = static_cast<std::uint32_t>(packed >> 16U),
            .port = static_cast<std::uint16_t>(packed & 0xffffU)};
}

} // namespace kumquatpath

#endif
