#ifndef KUMQUATPATH_MODEL_IDS_HPP
#define KUMQUATPATH_MODEL_IDS_HPP

/// \file
/// Identifiers of the objects that kumquatpath handles.
///
/// An object that an operator names has an id derived from its name, so the id denotes
/// the same object in every generation of the configuration and on every instance. The
/// configuration check refuses two names of one kind that have the same id.

#include <kumquatpath/model/strong_type.hpp>

#include <cstdint>
#include <string_view>

namespace kumquatpath
{

/// Identifies a service by its name.
using service_id = strong_type<struct service_tag, std::uint32_t>;
/// Identifies a target, a back end instance, by its name.
using target_id = strong_type<struct target_tag, std::uint32_t>;
/// Identifies an entry instance of kumquatpath by its name.
using instance_id = strong_type<struct instance_tag, std::uint32_t>;
/// Identifies a data centre by its name.
using data_centre_id = strong_type<struct data_centre_tag, std::uint32_t>;
/// Identifies a tenant by the number that the configuration gives it; packets carry it.
using tenant_id = strong_type<struct tenant_tag, std::uint16_t>;
/// Identifies a class of requests by the number that the configuration gives it; packets
/// carry it.
using class_id = strong_type<struct class_tag, std::uint16_t>;
/// Identifies a flow: the random number that the caller chooses when it opens the flow
/// or, in a packet format without such a number, a hash of the caller's and the
/// listener's address.
using flow_id = strong_type<struct flow_tag, std::uint64_t>;
/// Identifies a request within its flow; copies and retries of a request have the same
/// number.
using request_id = strong_type<struct request_tag, std::uint64_t>;
/// Numbers the accepted configurations in increasing order.
using generation = strong_type<struct generation_tag, std::uint64_t>;
/// The index of a slot of a service, from 0 to the service's number of slots minus 1.
using slot_index = strong_type<struct slot_tag, std::uint32_t>;

/// Returns a 64-bit hash of \p name that is the same on every machine and in every
/// release.
std::uint64_t hash_name(std::string_view name) noexcept;

/// Returns a well mixed 64-bit hash of the ordered pair (\p first, \p second).
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) noexcept;

/// Returns a number from 0 to below 1 in proportion to the high 32 bits of \p bits, which
/// are uniformly distributed.
inline double unit_interval(std::uint64_t bits) noexcept
{
    constexpr double scale = 1.0 / 4294967296.0;
    return static_cast<double>(bits >> 32U) * scale;
}

/// Returns the id of type \p Id for the object named \p name. The id is never 0.
template <class Id>
Id id_of(std::string_view name) noexcept
{
    const auto high_bits = static_cast<std::uint32_t>(hash_name(name) >> 32U);
    return Id{high_bits == 0 ? 1U : high_bits};
}

} // namespace kumquatpath

#endif
