#ifndef KUMQUATPATH_MODEL_STRONG_TYPE_HPP
#define KUMQUATPATH_MODEL_STRONG_TYPE_HPP

/// \file
/// Strong types: numbers that are comparable only with numbers of the same kind.

#include <compare>
#include <cstddef>
#include <functional>

namespace kumquatpath
{

/// A value of type \p Rep. \p Tag makes each kind of value a distinct type.
///
/// The type has no cost at run time. It does not convert implicitly from or to its
/// representation, so the id of a target cannot be passed where the id of a service is
/// expected.
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
