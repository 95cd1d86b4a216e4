#include <kumquatpath/model/ids.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace kumquatpath
{

std::uint64_t hash_name(std::string_view name) noexcept
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) noexcept
{
    const std::uint64_t words[] = {first, second};
    return XXH3_64bits(words, sizeof words);
}

} // namespace kumquatpath
