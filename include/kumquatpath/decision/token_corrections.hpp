#ifndef KUMQUATPATH_DECISION_TOKEN_CORRECTIONS_HPP
#define KUMQUATPATH_DECISION_TOKEN_CORRECTIONS_HPP

/// \file
/// Corrects the token that a target which lost the race for a flow gives to its caller.
///
/// An opening may reach two targets: by a second try, by the caller's own copy, from the
/// queue of another instance. Both answer, and the flow opens at the one that the caller
/// acknowledges. The other goes on repeating its answer for some seconds. A caller that
/// puts the token of the last packet that it received into its own then names the wrong
/// target, and an instance that does not know the flow believes it.
///
/// A target, too, puts the token that it last received into its packets. So an instance
/// that learns which target has the flow sends the caller's opening once more, as the
/// caller wrote it, to each of the others with that target's token. Their answers then
/// name it as well, and any instance steers the flow by its packets alone.
///
/// If the first copy of the opening that arrived here was not the caller's first one,
/// while the fabric may be rehashing, another instance may have placed the first one.
/// Then the local peers are told, and the one that did sends its corrections.
///
/// Openings are kept as long as a target may repeat its answer. They may be lost at any
/// time; then the flow's packets are steered as before.

#include <kumquatpath/decision/second_tries.hpp>
#include <kumquatpath/model/bytes.hpp>
#include <kumquatpath/model/fleet_message.hpp>

#include <deque>
#include <vector>

namespace kumquatpath
{

/// How long a target repeats an answer that no caller acknowledges: eight times, after
/// 200 ms at first and at most 1.6 s each, with a margin.
inline constexpr duration unacknowledged_answer_time = std::chrono::seconds(12);

/// The maximum number of openings that are kept; those of further flows are not.
inline constexpr std::size_t max_kept_openings = 8192;

/// A target that an opening was sent to. The key identifies the target, since its index
/// may be reused.
struct opening_target
{
    target_index index = 0;
    target_key key;
    /// Unset: never.
    std::optional<time_point> corrected_at;
};

/// An opening that was forwarded.
struct kept_opening
{
    /// The caller's datagram as received, and the address it came from.
    std::vector<std::byte> datagram;
    endpoint source;
    time_point first_sent_at;
    std::vector<opening_target> targets;
    /// The caller had sent the opening before, so another instance may have placed it.
    bool is_copy = false;
    /// Packets of the caller since a target answered, as far as they are counted.
    std::uint32_t packets_since_answer = 0;
};

/// The openings that are kept, and counts.
struct token_corrections
{
    /// Callers put the token of the last packet that they received into their own. While
    /// unset, nothing is kept.
    bool is_on = false;
    /// By flow.
    boost::unordered_flat_map<std::uint64_t, kept_opening> openings;
    /// The flows in \c openings in the order in which they were kept.
    std::deque<std::pair<time_point, std::uint64_t>> by_age;
    /// Number of openings that were sent again to correct a token.
    std::uint64_t sent = 0;
    /// Number of notices to peers, each of which goes to all local ones, and of those
    /// that concerned an opening which is kept here.
    std::uint64_t notices_sent = 0;
    std::uint64_t notices_used = 0;
    /// Number of packets that named another target than that of their flow.
    std::uint64_t wrong_tokens = 0;
};

/// Records that the opening \p packet, which arrived as \p datagram, is sent to \p
/// target.
void keep_opening(token_corrections& corrections, const target_directory& directory,
                  const flow_packet& packet, byte_view datagram, const endpoint& source,
                  target_index target, time_point now);

/// Returns the targets to which the opening of the flow of \p packet is to be sent now
/// with the token of \p flow_target, the target of the flow; \p packet is not an opening.
/// A target that takes no new flows is left out, as the opening might open one there.
std::vector<target_index> corrections_due(token_corrections& corrections,
                                          const target_directory& directory,
                                          const flow_packet& packet,
                                          target_index flow_target, time_point now);

/// Returns whether peers are to be told which target has the flow of \p packet, which is
/// not an opening. To be called before corrections_due().
bool must_tell_peers(const token_corrections& corrections, const second_tries& tries,
                     const flow_steering& steering, const flow_packet& packet,
                     time_point now);

/// Applies \p notice of a peer: the flow, if it is known here and no answer to it is,
/// stays at the target that has it. Returns the targets to which its opening is to be
/// sent now with the token of that target.
std::vector<target_index> apply_flow_notice(token_corrections& corrections,
                                            flow_steering& steering,
                                            const target_directory& directory,
                                            const flow_notice& notice, time_point now);

/// Returns the opening of \p flow, or null if it is not kept.
const kept_opening* find_opening(const token_corrections& corrections, flow_id flow);

/// Forgets the openings that no target answers any more. To be called regularly.
void forget_old_openings(token_corrections& corrections, time_point now);

} // namespace kumquatpath

#endif
