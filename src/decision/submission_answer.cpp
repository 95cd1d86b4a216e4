#include "submission_table.hpp"

#include <kumquatpath/decision/invariant.hpp>
#include <kumquatpath/decision/submission.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// An answer with more fragments than this is malformed.
constexpr std::uint32_t most_fragments = 65536;

/// Returns whether \p header may end or go on with the answer to \p entry. A refusal
/// behind a part of the answer contradicts it, so it is no answer to this request.
bool is_awaited(const submission& entry, target_id from, const packet_header& header)
{
    const bool is_answer = header.kind == packet_kind::answer;
    return entry.stage == submission_stage::sent && entry.target == from &&
           entry.header.return_path == header.return_path &&
           (is_answer || entry.fragments.empty());
}

/// Notes a fragment; returns false when it was passed on before or fits no such answer.
bool note_fragment(submission& entry, const packet_header& header)
{
    if (header.fragments == 0 || header.fragments > most_fragments ||
        header.fragment >= header.fragments)
    {
        return false;
    }
    if (entry.fragments.empty())
    {
        entry.fragments.assign(header.fragments, false);
    }
    if (entry.fragments.size() != header.fragments || entry.fragments[header.fragment])
    {
        return false;
    }
    entry.fragments[header.fragment] = true;
    return true;
}

void relay(submission_state& state, submission& entry, const packet_header& header,
           payload_view payload, time_point now, action_list& actions)
{
    assert_invariant(invariant::answer_meets_its_request,
                     key_of(header) == key_of(entry.header) &&
                         header.return_path == entry.header.return_path);
    actions.push_back(send_to_caller{.header = header, .payload = payload});
    const bool is_answer = header.kind == packet_kind::answer;
    const bool is_whole =
        !is_answer || std::ranges::find(entry.fragments, false) == entry.fragments.end();
    if (!is_whole)
    {
        return;
    }
    finish(state, entry, now);
    if (header.fragments == 1)
    {
        keep_answer(state, entry, header, payload);
    }
}

} // namespace

void receive_submission_answer(submission_state& state, target_id from,
                               const packet_header& header, payload_view payload,
                               time_point now, action_list& actions)
{
    submission* entry = find_submission(state, key_of(header));
    if (entry == nullptr || !is_awaited(*entry, from, header))
    {
        actions.push_back(drop_packet{drop_reason::stale_answer});
        return;
    }
    if (header.kind == packet_kind::answer && !note_fragment(*entry, header))
    {
        actions.push_back(drop_packet{drop_reason::duplicate});
        return;
    }
    relay(state, *entry, header, payload, now, actions);
}

} // namespace kumquatpath
