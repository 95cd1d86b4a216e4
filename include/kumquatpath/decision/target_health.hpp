#ifndef KUMQUATPATH_DECISION_TARGET_HEALTH_HPP
#define KUMQUATPATH_DECISION_TARGET_HEALTH_HPP

/// \file
/// What one instance knows of the targets from the traffic that it sees.
///
/// Answers, refusals and silence count; what a target reports of itself counts only while
/// nothing was seen of it. Silence is noticed from requests that stay unanswered, with no
/// probe for each flow: a suspect target gets single requests, one at a time, that show
/// whether it answers again. A target that comes back starts slowly.

#include <kumquatpath/decision/slow_start.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace kumquatpath
{

/// What was seen of one target.
struct target_evidence
{
    target_id target;
    std::uint32_t in_flight = 0;
    /// Requests sent since the target was last heard, and when the first of them was.
    std::uint32_t unanswered = 0;
    time_point unanswered_since{};
    /// When the target was last heard; empty when never.
    std::optional<time_point> heard;
    /// The smoothed latency of its answers and their mean deviation, in seconds.
    double latency = 0;
    double deviation = 0;
    /// The part of the latest requests that it refused.
    double refused_part = 0;
    slow_start warming;
    /// Set while the target is suspect.
    bool is_suspect = false;
    /// When the next single request may test a suspect target, and the wait after it.
    time_point next_probe{};
    duration probe_interval{0};
    /// What the target reported of itself, in requests in flight.
    double reported_load = 0;
    std::optional<time_point> reported;
};

/// The evidence of all targets at one instance, in ascending order of id.
struct target_health
{
    std::vector<target_evidence> targets;
    /// Whether a set of targets was ever known; the first set is taken to be warm.
    bool has_started = false;
};

/// What the evidence says of a target.
enum class target_assessment : std::uint8_t
{
    healthy,
    /// Warming up: it takes a part of its share, see weight_of().
    cold,
    /// Silent, or refusing most of its work: it takes single requests only.
    suspect,
};

/// Takes over the targets that take new flows, in ascending order. A target that wasn't
/// known before is cold, but for the first set.
void targets_are(target_health& health, std::span<const target_id> active,
                 time_point now);

/// Returns the evidence of \p target, or nothing when it isn't known.
const target_evidence* evidence_of(const target_health& health,
                                   target_id target) noexcept;

/// Notes a request that was sent to \p target. \p is_probe tells that it tests a suspect
/// target.
void note_sent(target_health& health, target_id target, bool is_probe,
               time_point now) noexcept;

/// Notes any sign of life of \p target, such as a fragment that ends no answer.
void note_heard(target_health& health, target_id target, time_point now) noexcept;

/// Notes an answer that took \p latency.
void note_answer(target_health& health, target_id target, duration latency,
                 time_point now) noexcept;

/// Notes that \p target refused a request.
void note_refusal(target_health& health, target_id target, time_point now) noexcept;

/// Notes that a request ended without an answer: it timed out or was taken back.
void note_abandoned(target_health& health, target_id target, time_point now) noexcept;

/// Notes what \p target reported of its own load, in requests in flight.
void note_report(target_health& health, target_id target, double load,
                 time_point now) noexcept;

/// Returns what the evidence says of \p target. A target that isn't known is healthy.
target_assessment assess(const target_health& health, target_id target,
                         time_point now) noexcept;

/// Returns whether a single request may test a suspect target now. One that may not be
/// repeated does so only when no other has for half a minute.
bool is_probe_due(const target_evidence& seen, bool is_repeatable,
                  time_point now) noexcept;

} // namespace kumquatpath

#endif
