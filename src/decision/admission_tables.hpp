#ifndef KUMQUATPATH_DECISION_ADMISSION_TABLES_HPP
#define KUMQUATPATH_DECISION_ADMISSION_TABLES_HPP

/// \file
/// Look-ups in the sorted tables of admission control.

#include <kumquatpath/decision/admission.hpp>

#include <algorithm>

namespace kumquatpath
{

/// Returns the entry of \p table whose \p key equals \p wanted, or nothing.
template <class Table, class Key, class Projection>
auto find_sorted(Table& table, const Key& wanted, Projection key) noexcept
    -> decltype(&*table.begin())
{
    const auto found = std::ranges::lower_bound(table, wanted, {}, key);
    const bool is_there = found != table.end() && std::invoke(key, *found) == wanted;
    return is_there ? &*found : nullptr;
}

inline service_id id_of_entry(const admission_service& entry) noexcept
{
    return entry.limit.id;
}

inline class_id id_of_entry(const admission_class& entry) noexcept
{
    return entry.limit.id;
}

template <class Id>
Id id_of_entry(const rate_limit<Id>& entry) noexcept
{
    return entry.id;
}

inline pool_id id_of_entry(const admission_pool& entry) noexcept
{
    return entry.id;
}

/// Returns the entry of \p table that has \p id, or nothing.
template <class Table, class Id>
auto find_entry(Table& table, Id id) noexcept
{
    return find_sorted(table, id, [](const auto& each) { return id_of_entry(each); });
}

/// Returns the key of the lane that unlisted work of \p service shares.
inline lane_key shared_lane_of(service_id service) noexcept
{
    constexpr std::uint16_t unlisted = 0xffff;
    return {.service = service, .tenant = {unlisted}, .traffic_class = {unlisted}};
}

/// Returns the lane of \p wanted, which is opened if need be; the shared lane of the
/// service if a tenant or class is unlisted, or the table is full.
admission_lane& lane_of(admission& state, const lane_key& wanted, time_point now);

} // namespace kumquatpath

#endif
