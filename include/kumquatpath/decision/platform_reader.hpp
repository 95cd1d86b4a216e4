#ifndef KUMQUATPATH_DECISION_PLATFORM_READER_HPP
#define KUMQUATPATH_DECISION_PLATFORM_READER_HPP

/// \file
/// Which instances read from the platform for all others.
///
/// Two instances of each data centre keep a watch on the configuration; every other one
/// hears of a new generation in a heartbeat and fetches it from the peer that told it.
/// Both readers follow from the member view, so nothing has to be agreed: two views that
/// differ for a while cost a few calls more or a short delay, never a wrong
/// configuration. Every other instance also reads once in a long while, in case no reader
/// reaches the platform.

#include <kumquatpath/decision/membership.hpp>

#include <chrono>

namespace kumquatpath
{

/// The count of readers in one data centre.
inline constexpr std::size_t readers_per_data_centre = 2;

/// Returns whether this instance is a reader of its data centre.
bool reads_platform(const membership& state);

/// Returns how long an instance that is no reader waits between its own reads. It grows
/// with the members, so that the reads of the whole fleet stay at about one a second.
std::chrono::milliseconds platform_poll_interval(const membership& state);

} // namespace kumquatpath

#endif
