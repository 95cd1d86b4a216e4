#ifndef KUMQUATPATH_SRC_DECISION_SUBMISSION_TABLE_HPP
#define KUMQUATPATH_SRC_DECISION_SUBMISSION_TABLE_HPP

/// \file
/// The table of submissions at their coordinator: entries, what is due, and how one ends.

#include <kumquatpath/decision/submission.hpp>

namespace kumquatpath
{

/// Returns the submission of \p key, or nothing.
submission* find_submission(submission_state& state, const submission_key& key);

/// Adds a submission that has \p header; nothing when the table is full.
submission* add_submission(submission_state& state, const packet_header& header,
                           time_point now);

/// Makes \p entry due at \p due.
void schedule(submission_state& state, submission& entry, time_point due);

/// Keeps \p payload with \p entry; returns false when the bound of bytes is reached.
bool keep_payload(submission_state& state, submission& entry, payload_view payload);

/// Ends \p entry at \p now; nothing will be sent to a target any more.
void finish(submission_state& state, submission& entry, time_point now);

/// Keeps the last packet to the caller for later copies, if there is room.
void keep_answer(submission_state& state, submission& entry, const packet_header& header,
                 payload_view payload);

/// Ends \p entry and tells its caller \p outcome for \p reason.
void finish_refused(submission_state& state, submission& entry, request_outcome outcome,
                    refusal_reason reason, time_point now, action_list& actions);

/// Forgets the submission of \p key.
void forget_submission(submission_state& state, const submission_key& key);

/// Returns the refusal that tells the caller of \p header what is known.
packet_header refusal_of(const packet_header& header, request_outcome outcome,
                         refusal_reason reason);

/// Tells the caller of \p header that what became of its request cannot be known.
void tell_unknown(const packet_header& header, refusal_reason reason,
                  action_list& actions);

/// Returns whether \p which seems alive.
bool is_alive(const member_view& members, instance_id which);

/// Takes one claim out of the allowance. Returns false when it is used up, and then wants
/// votes in advance.
bool take_claim(submission_state& state, time_point now);

/// Returns whether the claim of \p key is won by votes in advance.
bool is_won_in_advance(const submission_state& state, const submission_context& context,
                       const submission_key& key);

/// Notes the votes that were given in advance on the claim of \p entry.
void note_advance_votes(const submission_state& state, const submission_context& context,
                        submission& entry);

/// Asks the other holders for votes in advance when they are wanted.
void ask_in_advance(submission_state& state, const submission_context& context,
                    action_list& actions);

/// Takes a holder's reply to ask_in_advance().
void receive_advance_vote(submission_state& state, const submission_context& context,
                          instance_id from, const claim_reply& reply);

/// Goes on with a claiming submission as far as its votes allow: sends it, or ends it.
void advance(submission_state& state, submission& entry,
             const submission_context& context, action_list& actions);

} // namespace kumquatpath

#endif
