#ifndef KUMQUATPATH_MODEL_STATE_REVISION_HPP
#define KUMQUATPATH_MODEL_STATE_REVISION_HPP

/// \file
/// The order of the changes of the shared state.

#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/strong_type.hpp>

#include <compare>
#include <cstdint>

namespace kumquatpath
{

/// Counts how often the store has come back from an older copy of itself. A store that
/// does not count has era 0.
using store_era = strong_type<struct store_era_tag, std::uint32_t>;

/// Numbers the changes of the shared state in increasing order. The store gives its own
/// numbers out again after it has come back from a copy, so the era comes first.
struct state_revision
{
    /// The store's number of the change; 0: before the first one.
    std::uint64_t value = 0;
    store_era era;

    friend constexpr bool operator==(const state_revision&,
                                     const state_revision&) = default;

    friend constexpr std::strong_ordering operator<=>(const state_revision& left,
                                                      const state_revision& right)
    {
        const auto eras = left.era <=> right.era;
        return eras == 0 ? left.value <=> right.value : eras;
    }
};

/// Orders the configurations. Of two at the same revision, the one with the higher
/// generation is newer: the store has come back with the older one.
struct configuration_version
{
    state_revision revision;
    kumquatpath::generation generation;

    friend constexpr auto operator<=>(const configuration_version&,
                                      const configuration_version&) = default;
};

} // namespace kumquatpath

#endif
