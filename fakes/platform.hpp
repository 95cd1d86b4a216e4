#ifndef KUMQUATPATH_FAKES_PLATFORM_HPP
#define KUMQUATPATH_FAKES_PLATFORM_HPP

/// \file
/// A fake of the platform's key-value store, with the HTTP/JSON interface that the
/// platform publishes. The data is kept in memory only.
///
/// Query parameters are not percent-decoded, so keys may only use characters that need no
/// escaping in a URL.

#include "key_value_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <support/http_server.hpp>

#include <chrono>
#include <list>

namespace kumquatpath::fakes
{

/// The address and the rate limits of the store.
struct platform_options
{
    endpoint listen;
    double writes_per_second = 0;
    double reads_per_second = 0;
};

/// Limits the rate of calls. A burst may use the tokens of at most one second.
struct token_bucket
{
    /// Tokens added per second; a call takes one.
    double rate = 0;
    double tokens = 0;
    time_point refilled_at{};
};

/// The fault set with /fake/fault. It applies to the next \c count calls, or until it is
/// replaced if \c count is 0.
struct injected_fault
{
    /// "none", "down" (status 503), "slow" (responds after \c delay) or "lose_answers"
    /// (executes writes but closes their connection without a response).
    std::string mode = "none";
    std::chrono::milliseconds delay{0};
    std::uint64_t count = 0;
};

/// The store, its rate limits, the injected fault and the call counts.
struct platform_state
{
    platform_options options;
    token_bucket read_bucket;
    token_bucket write_bucket;
    key_value_store store;
    /// The copy that /fake/copy took and with which /fake/return brings the store back.
    key_value_store copy;
    injected_fault fault;
    /// Calls by kind ("read", "write", "watch") and by failure ("failed", "over_rate"),
    /// as /fake/calls returns them.
    std::map<std::string, std::uint64_t> call_counts;
    /// Timers of the waiting watches. A change of the store cancels them all, so that
    /// each watch looks for new events.
    std::list<boost::asio::steady_timer> watch_timers;
};

/// Handles a call of the store, or of the control interface under /fake/.
boost::asio::awaitable<http_response> handle_request(platform_state& state,
                                                     const http_request& request);

/// Ends expired leases now and periodically for as long as \p timer exists.
void expire_leases_periodically(platform_state& state, boost::asio::steady_timer& timer);

} // namespace kumquatpath::fakes

#endif
