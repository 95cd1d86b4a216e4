#ifndef KUMQUATPATH_FAKES_PLATFORM_HPP
#define KUMQUATPATH_FAKES_PLATFORM_HPP

/// \file
/// The stand-in platform: its metadata store over HTTP/JSON, as the platform publishes
/// it. All of it is lost when it ends.
///
/// Keys are made of characters that a URL carries unescaped.

#include "key_value_store.hpp"

#include <boost/asio/steady_timer.hpp>

#include <support/http_server.hpp>

#include <chrono>
#include <list>

namespace kumquatpath::fakes
{

/// Address and rates.
struct platform_options
{
    endpoint listen;
    double writes_per_second = 0;
    double reads_per_second = 0;
};

/// Grants calls at a rate, and up to a second's worth of them at once.
struct token_bucket
{
    double rate = 0;
    double tokens = 0;
    time_point refilled_at{};
};

/// The fault that was asked for; it lasts for \c count calls, or until changed when 0.
struct injected_fault
{
    std::string mode = "none";
    std::chrono::milliseconds delay{0};
    std::uint64_t count = 0;
};

/// The platform's state, with its limits and faults.
struct platform_state
{
    platform_options options;
    token_bucket read_bucket;
    token_bucket write_bucket;
    key_value_store store;
    injected_fault fault;
    /// Calls by kind, as /fake/calls shows them.
    std::map<std::string, std::uint64_t> call_counts;
    /// Timers of the waiting watches; a write cancels them all.
    std::list<boost::asio::steady_timer> watch_timers;
};

/// Answers one call, of the service or of the stand-in's own control.
boost::asio::awaitable<http_reply> handle_request(platform_state& state,
                                                  const http_request& request);

/// Ends lapsed leases from now on, for as long as \p timer lives.
void expire_leases_periodically(platform_state& state, boost::asio::steady_timer& timer);

} // namespace kumquatpath::fakes

#endif
