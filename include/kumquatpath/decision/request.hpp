#ifndef KUMQUATPATH_DECISION_REQUEST_HPP
#define KUMQUATPATH_DECISION_REQUEST_HPP

/// \file
/// Repeatable requests that open a flow: tried again on another target when the first one
/// refused them or stays silent.
///
/// Guarantees: a request is tried again only while it may run more than once without harm
/// or its target said "not run", while its budget allows it, before its deadline, and
/// never once a part of an answer was passed on. Only the target of the latest try is
/// heard, so no answer is put together from two. After a cancellation nothing is sent.
///
/// Failure: a request that finds the table full is sent once and not tried again; its
/// answer is passed on by the return path that the target echoes.

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/decision/claim.hpp>
#include <kumquatpath/decision/retry.hpp>

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquatpath
{

/// The limits of the requests of one instance.
struct request_options
{
    std::size_t most_requests = 16384;
    /// The most bytes of payloads kept for further tries.
    std::size_t most_bytes = std::size_t{8} << 20U;
    /// The most tries of one request, the first one included.
    std::uint32_t most_tries = 3;
    /// The silence after which a repeatable request is tried again.
    duration silence = std::chrono::milliseconds{500};
    retry_options retry;
};

/// A request that may be tried again.
struct tracked_request
{
    packet_header header;
    std::vector<std::byte> payload;
    /// The targets tried so far; the last one is the only one that is heard.
    std::vector<target_id> tried;
    time_point deadline{};
    time_point due{};
    /// Whether a part of an answer was passed on.
    bool is_answering = false;
    /// Whether a retry was granted for which no target was named yet.
    bool is_retry_granted = false;
};

/// The requests of one instance.
struct request_state
{
    request_options options;
    std::unordered_map<submission_key, tracked_request, submission_key_hash> by_key;
    /// The same keys in the order in which something is due for them.
    std::set<std::pair<time_point, submission_key>> agenda;
    retry_budgets budgets;
    std::size_t bytes = 0;
};

/// What is to be done with a packet from a target.
enum class request_verdict : std::uint8_t
{
    /// It belongs to no request that is known here: the return path decides.
    untracked,
    /// To be passed to the caller.
    relay,
    /// To be tried on another target with retry_request(). When there is none, the packet
    /// is passed to the caller and the request forgotten with forget_request().
    retry,
    /// To be dropped: it comes from a target that is no longer heard.
    drop,
};

/// Sends a request to \p target, and remembers it if it may be tried again.
void send_request(request_state& state, const packet_header& header, payload_view payload,
                  target_id target, time_point now, action_list& actions);

/// Decides what becomes of a packet from the target \p from.
request_verdict receive_request_answer(request_state& state, target_id from,
                                       const packet_header& header, time_point now);

/// Returns the targets that the request of \p key was sent to; empty if it is not known.
std::vector<target_id> tried_targets(const request_state& state,
                                     const submission_key& key);

/// Sends a request for which a retry was granted to \p target.
void retry_request(request_state& state, const submission_key& key, target_id target,
                   time_point now, action_list& actions);

/// Forgets the request of \p key.
void forget_request(request_state& state, const submission_key& key);

/// Passes a cancellation to the target and forgets the request. Returns false if it is
/// not known here.
bool cancel_request(request_state& state, const packet_header& header,
                    action_list& actions);

/// Forgets what is over, and returns the requests whose targets were silent too long and
/// for which a retry was granted.
std::vector<submission_key> tick_requests(request_state& state, time_point now);

} // namespace kumquatpath

#endif
