#ifndef KUMQUATPATH_MODEL_STRONG_TYPE_HPP
#define KUMQUATPATH_MODEL_STRONG_TYPE_HPP

/// \file
/// Strong types: a number that only compares and hashes with numbers of its own kind.

#include <compare>
#include <cstddef>
#include <functional>

namespace kumquatpath
{

/// A value of type \p Rep that is told apart from every other kind by \p Tag.
///
/// The type costs nothing at run time. It converts neither from nor to its representation
/// implicitly, so an id of a target cannot be passed where an id of a service is meant.
template <class Tag, class Rep>
struct strong_type
{
    using representation = Rep;

    Rep value{};

    friend constexpr auto operator<=>(const strong_type&, const strong_type&) = default;
};

} // namespace kumquatpath

/// Hashes a strong type by its value.
template <class Tag, class Rep>
struct std::hash<kumquatpath::strong_type<Tag, Rep>>
{
    std::size_t operator()(const kumquatpath::strong_type<Tag, Rep>& key) const noexcept
    {
        return std::hash<Rep>{}(key.value);
    }
};

#endif
