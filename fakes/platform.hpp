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
struct call_budget
{
    double rate = 0;
    double tokens = 0;
    time_point filled_at{};
};

/// The fault that was asked for; it lasts for \c count calls, or until changed when 0.
struct requested_fault
{
    std::string mode = "none";
    std::chrono::milliseconds delay{0};
    std::uint64_t count = 0;
};

/// The platform's state, with its limits and faults.
struct platform
{
    platform_options options;
    call_budget reads;
    call_budget writes;
    key_value_store store;
    requested_fault fault;
    /// Calls by kind, as /fake/calls shows them.
    std::map<std::string, std::uint64_t> calls;
    /// Timers of the waiting watches; a write cancels them all.
    std::list<boost::asio::steady_timer> watches;
};

/// Answers one call, of the service or of the stand-in's own control.
boost::asio::awaitable<http_reply> answer(platform& held, const http_request& request);

/// Ends lapsed leases from now on, for as long as \p timer lives.
void lapse_regularly(platform& held, boost::asio::steady_timer& timer);

} // namespace kumquatpath::fakes

#endif
