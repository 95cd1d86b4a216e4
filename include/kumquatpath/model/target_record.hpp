#ifndef KUMQUATPATH_MODEL_TARGET_RECORD_HPP
#define KUMQUATPATH_MODEL_TARGET_RECORD_HPP

/// \file
/// A target as it announces itself, and the token that stands for it in packets.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace kumquatpath
{

/// Identifies one target for as long as it keeps its identity, across restarts.
using target_key = strong_type<struct target_key_tag, std::uint64_t>;

/// Stands for a target in the packets of a flow. 0 stands for "none yet".
using flow_token = strong_type<struct flow_token_tag, std::uint32_t>;

/// Numbers the changes of the shared state; it only ever grows.
using state_revision = strong_type<struct state_revision_tag, std::uint64_t>;

/// What a target says of itself.
struct target_record
{
    target_key key;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    /// Requests that the target works on at once.
    std::uint32_t slots = 1;
    /// The target finishes what it has and takes nothing new.
    bool is_draining = false;
    /// How much longer the target is slow after its start.
    std::chrono::milliseconds warm_up_left{0};
    /// Tells one start of the target from the next; only compared for equality.
    std::uint64_t incarnation = 0;

    friend bool operator==(const target_record&, const target_record&) = default;
};

/// One change of what is known of a target.
struct target_change
{
    target_key key;
    state_revision revision;
    /// The last usable announcement, if the teller has it.
    std::optional<target_record> record;
    /// The target no longer announces itself, or not in a way that can be used.
    bool is_gone = false;
};

/// Returns the token of \p key; it is the same on every instance and never 0.
inline flow_token token_of(target_key key) noexcept
{
    const auto high_bits =
        static_cast<std::uint32_t>(hash_pair(key.value, 0x746f6b656eU) >> 32U);
    return {high_bits == 0 ? 1U : high_bits};
}

} // namespace kumquatpath

#endif
