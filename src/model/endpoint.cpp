#include <kumquatpath/model/endpoint.hpp>

#include <array>
#include <charconv>

namespace kumquatpath
{
namespace
{

/// Parses a decimal number of at most \p max_value from the front of \p rest and removes
/// it together with the \p separator that must follow; with separator '\0', the number
/// must end \p rest. Returns false if the text does not match.
bool parse_number(std::string_view& rest, char separator, std::uint32_t max_value,
                  std::uint32_t& number)
{
    const auto* const begin = rest.data();
    const auto* const end = begin + rest.size();
    const auto [stop, error] = std::from_chars(begin, end, number);
    if (error != std::errc{} || number > max_value)
    {
        return false;
    }
    rest.remove_prefix(static_cast<std::size_t>(stop - begin));
    if (separator == '\0')
    {
        return rest.empty();
    }
    if (rest.empty() || rest.front() != separator)
    {
        return false;
    }
    rest.remove_prefix(1);
    return true;
}

} // namespace

boost::leaf::result<endpoint> parse_endpoint(std::string_view text)
{
    constexpr std::uint32_t max_octet = 255;
    constexpr std::uint32_t max_port = 65535;
    endpoint parsed;
    std::string_view rest = text;
    for (const char separator : {'.', '.', '.', ':'})
    {
        std::uint32_t octet = 0;
        if (!parse_number(rest, separator, max_octet, octet))
        {
            return boost::leaf::new_error(malformed_endpoint{std::string(text)});
        }
        parsed.address = (parsed.address << 8U) | octet;
    }
    std::uint32_t port = 0;
    if (!parse_number(rest, '\0', max_port, port) || port == 0)
    {
        return boost::leaf::new_error(malformed_endpoint{std::string(text)});
    }
    parsed.port = static_cast<std::uint16_t>(port);
    return parsed;
}

std::string to_string(const endpoint& value)
{
    std::string text;
    for (const unsigned shift : {24U, 16U, 8U, 0U})
    {
        text += std::to_string((value.address >> shift) & 0xffU);
        text += shift == 0 ? ':' : '.';
    }
    return text + std::to_string(value.port);
}

} // namespace kumquatpath
