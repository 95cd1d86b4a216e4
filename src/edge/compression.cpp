#include <kumquatpath/edge/compression.hpp>

#include <zlib.h>

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr std::size_t first_output_bytes = 65'536;

const Bytef* bytes_of(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

} // namespace

std::optional<std::string> compress(std::string_view text)
{
    std::string compressed(compressBound(text.size()), '\0');
    uLongf size = compressed.size();
    if (compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, bytes_of(text),
                  text.size(), Z_BEST_SPEED) != Z_OK)
    {
        return std::nullopt;
    }
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t max_bytes)
{
    std::size_t room = std::min(first_output_bytes, max_bytes);
    while (true)
    {
        std::string text(room, '\0');
        uLongf size = text.size();
        const int status = uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                                      bytes_of(compressed), compressed.size());
        if (status == Z_OK)
        {
            text.resize(size);
            return text;
        }
        if (status != Z_BUF_ERROR || room == max_bytes)
        {
            return std::nullopt;
        }
        room = std::min(4 * room, max_bytes);
    }
}

} // namespace kumquatpath
