#ifndef KUMQUATPATH_MODEL_TARGET_RECORD_HPP
#define KUMQUATPATH_MODEL_TARGET_RECORD_HPP

/// \file
/// The announcement of a target, and the token that identifies the target in packets.

#include <kumquatpath/model/endpoint.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/state_revision.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace kumquatpath
{

/// Identifies a target; the key stays the same across restarts of the target.
using target_key = strong_type<struct target_key_tag, std::uint64_t>;

/// Identifies the entry in which a target announces itself; 0: not stated, as by sources
/// that have one entry for each target.
using entry_id = strong_type<struct entry_id_tag, std::uint64_t>;

/// Identifies a target in the packets of a flow; 0 means that none is assigned yet.
using flow_token = strong_type<struct flow_token_tag, std::uint32_t>;

/// What a target announces about itself.
struct target_record
{
    target_key key;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    /// The number of requests that the target processes concurrently.
    std::uint32_t slots = 1;
    /// The target finishes its open flows and accepts no new ones.
    bool is_draining = false;
    /// The remaining time for which the target is slow after its start.
    std::chrono::milliseconds warm_up_left{0};
    /// Differs from one start of the target to the next, and is higher for the later one;
    /// 0: unknown.
    std::uint64_t incarnation = 0;
    /// Counts what the target has announced since its start; 0: unknown.
    std::uint64_t sequence = 0;

    friend bool operator==(const target_record&, const target_record&) = default;
};

/// One change of the known state of a target.
struct target_change
{
    target_key key;
    /// Entries with different ids may be about the same target. What happens to one of
    /// them says nothing about the others.
    entry_id entry;
    state_revision revision;
    /// The last usable announcement, if the source of this change has it.
    std::optional<target_record> record;
    /// The target no longer announces itself, or its entry is unusable.
    bool is_gone = false;
    /// An entry is there but unusable: it names no target, and says nothing about whether
    /// the one that was announced runs. Only if is_gone.
    bool is_unusable = false;
};

/// Returns the token of \p key. The token is the same on every instance and never 0.
inline flow_token token_of(target_key key) noexcept
{
    // 0x746f6b656e is "token" in ASCII; it separates tokens from other hashes of a key.
    const auto high_bits =
        static_cast<std::uint32_t>(hash_pair(key.value, 0x746f6b656eU) >> 32U);
    return {high_bits == 0 ? 1U : high_bits};
}

} // namespace kumquatpath

#endif
