#ifndef KUMQUATPATH_DECISION_SUBMISSION_HPP
#define KUMQUATPATH_DECISION_SUBMISSION_HPP

/// \file
/// Submissions that may not be repeated: each runs at most once, however many copies of
/// it reach however many instances.
///
/// Guarantees: a submission is sent to a target only by a coordinator whose claim to run
/// it a majority of the key's holders has recorded, once. The caller is told "not run"
/// only when no coordinator can ever get there, or when the target itself said so.
/// Everything else that cannot be known is told as "unknown". A copy of a submission in
/// progress is absorbed; a copy of a finished one gets the same short answer again.
///
/// Failures: with fewer than a majority of a key's holders the answer is "unknown" for
/// reason no_quorum. With a full table it is "unknown" for reason table_full.
///
/// Assumption: a copy of a submission arrives no later than its first deadline plus
/// submission_options::margin, and a caller's retry carries the time that is left of the
/// first deadline. See design/submissions.md.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/claim.hpp>
#include <kumquatpath/decision/member_view.hpp>
#include <kumquatpath/decision/roster.hpp>
#include <kumquatpath/decision/submission_vote.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatpath
{

/// The limits of the submissions of one instance.
struct submission_options
{
    /// The time between two rounds of claims to holders that have not answered.
    duration claim_interval = std::chrono::milliseconds{20};
    /// The rounds of claims before the coordinator gives up.
    std::uint32_t most_rounds = 8;
    /// The longest time that a copy spends on its way, over every hop: a hop is one delay
    /// of the fabric and one pause of roster_options::longest_gap that goes unnoticed.
    duration margin = std::chrono::seconds{4};
    /// How long copies of a finished submission are absorbed whose answer is not kept.
    duration echo_window = std::chrono::seconds{1};
    /// The most submissions remembered by their coordinator.
    std::size_t most_submissions = 16384;
    /// The most bytes of payloads that wait for their claims.
    std::size_t most_waiting_bytes = std::size_t{4} << 20U;
    /// The most bytes of answers kept for copies.
    std::size_t most_answer_bytes = std::size_t{4} << 20U;
    /// Claims a second that an instance makes before it asks for votes in advance. Early
    /// refusals beyond are told as "unknown" until it has them, so a flood does not grow
    /// the control traffic.
    double claims_per_second = 14;
    /// How long votes in advance are asked for once there were too many claims, and how
    /// often.
    duration advance_period = std::chrono::seconds{10};
    duration advance_interval = std::chrono::milliseconds{1500};
    /// In a larger roster no votes are asked for in advance: that would take too much
    /// traffic.
    std::size_t most_asked_holders = 16;
};

/// How far the coordinator is with a submission.
enum class submission_stage : std::uint8_t
{
    /// Holders are being asked; nothing was sent.
    claiming,
    /// Sent to the target; its answer is awaited.
    sent,
    /// Over: answered, refused or given up. Nothing will be sent any more.
    finished,
};

/// The last packet to the caller, kept for copies that arrive later.
struct kept_answer
{
    packet_header header;
    std::vector<std::byte> payload;
};

/// A submission at its coordinator.
struct submission
{
    packet_header header;
    std::vector<std::byte> payload;
    target_id target;
    ballot claim;
    /// Why the coordinator wants to refuse; none when it wants to run.
    refusal_reason refusal = refusal_reason::none;
    submission_stage stage = submission_stage::claiming;
    bool was_sent = false;
    bool is_cancelled = false;
    std::uint32_t rounds = 0;
    time_point deadline{};
    time_point expires{};
    time_point due{};
    time_point finished_at{};
    /// Which fragments of the answer were passed on.
    std::vector<bool> fragments;
    std::optional<kept_answer> answer;
};

/// What a coordinator knows of the votes that one holder gave it in advance.
struct advance_vote
{
    instance_id holder;
    roster_version version;
    time_point valid_until{};
};

/// The votes that a coordinator has in advance.
struct advance_votes
{
    std::vector<advance_vote> votes;
    /// The latest request for them.
    request_id sequence;
    time_point asked_at{};
    /// When to ask again, and until when they are wanted.
    time_point next_ask{};
    time_point wanted_until{};
};

/// The submissions and the claims of one instance.
struct submission_state
{
    submission_options options;
    claim_records records;
    std::unordered_map<submission_key, submission, submission_key_hash> by_key;
    /// The same keys in the order in which something is due for them.
    std::set<std::pair<time_point, submission_key>> agenda;
    /// The payload of the latest send, kept until the next event.
    std::vector<std::byte> in_transit;
    std::size_t waiting_bytes = 0;
    std::size_t answer_bytes = 0;
    advance_votes advance;
    /// Claims that may be made now, refilled as time passes.
    double claims_allowed = 0;
    time_point refilled_at{};
};

/// What an instance knows when it decides.
struct submission_context
{
    const roster_view& roster;
    const member_view& members;
    time_point now;
};

/// What is left to do for a packet.
enum class submission_route : std::uint8_t
{
    /// Nothing: it was passed on, answered or absorbed.
    handled,
    /// This instance coordinates: the caller of the function goes on with
    /// run_submission() or refuse_submission().
    coordinate,
};

/// Returns the key of the submission in \p header.
constexpr submission_key key_of(const packet_header& header) noexcept
{
    return {.service = header.service, .flow = header.flow, .request = header.request};
}

/// Decides who coordinates a submission that came from a caller or was passed on. The
/// header's deadline and return path are set already.
submission_route route_submission(submission_state& state,
                                  const submission_context& context,
                                  const packet_header& header, payload_view payload,
                                  action_list& actions);

/// Claims the submission and sends it to \p target once the claim is won. To be called
/// right after route_submission() returned coordinate.
void run_submission(submission_state& state, const submission_context& context,
                    const packet_header& header, payload_view payload, target_id target,
                    action_list& actions);

/// Claims that the submission will never run, and tells the caller \p reason. To be
/// called right after route_submission() returned coordinate.
void refuse_submission(submission_state& state, const submission_context& context,
                       const packet_header& header, refusal_reason reason,
                       action_list& actions);

/// Takes a holder's reply.
void receive_claim_reply(submission_state& state, const submission_context& context,
                         instance_id from, const claim_reply& reply,
                         action_list& actions);

/// Takes an answer, a refusal or a reset from the target \p from. Drops it unless it
/// belongs to a submission that waits for exactly this target's answer.
void receive_submission_answer(submission_state& state, target_id from,
                               const packet_header& header, payload_view payload,
                               time_point now, action_list& actions);

/// Takes a caller's cancellation: passes it on to the coordinator or, there, keeps the
/// submission from being sent or passes it to the target.
void cancel_submission(submission_state& state, const submission_context& context,
                       const packet_header& header, action_list& actions);

/// Asks for no more votes in advance; for an instance that is about to leave.
void stop_asking_in_advance(submission_state& state, time_point now);

/// Returns whether some holder may still keep keys for this coordinator alone. One that
/// leaves meanwhile would leave its keys undecided.
bool may_hold_advance_votes(const submission_state& state, const roster_view& roster,
                            time_point now);

/// Does what is due: claims again, gives up, tells of a passed deadline, forgets.
void tick_submissions(submission_state& state, const submission_context& context,
                      action_list& actions);

} // namespace kumquatpath

#endif
