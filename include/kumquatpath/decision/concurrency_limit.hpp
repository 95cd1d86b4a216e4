#ifndef KUMQUATPATH_DECISION_CONCURRENCY_LIMIT_HPP
#define KUMQUATPATH_DECISION_CONCURRENCY_LIMIT_HPP

/// \file
/// The learned limit of a pool: how many requests beyond the guaranteed ones an instance
/// may have in flight at the pool's targets, found from the targets' own answers.
///
/// The limit follows the ratio between the latency that is seen and the latency that the
/// same work has without pressure, and of that first what the work sees that isn't
/// flooded. It is a real number, often smaller than the count of
/// targets; each target gets an even part of it, rounded up on some instances and down on
/// others, so that the parts of all instances add up although they never talk about it.
/// A target that refuses keeps its place taken for a growing back-off, so that one which
/// refuses at once attracts no work.

#include <kumquatpath/decision/fleet_usage.hpp>
#include <kumquatpath/model/ids.hpp>
#include <kumquatpath/model/time.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace kumquatpath
{

/// The inflation of latency that the limit is steered to.
inline constexpr double wanted_inflation = 1.35;

/// The ceiling of a pool that was never overloaded by its guaranteed work.
inline constexpr double highest_ceiling = 1e6;

/// How a request was let in.
enum class room_kind : std::uint8_t
{
    guaranteed,
    surplus,
};

/// What one instance has in flight at one target.
struct target_occupancy
{
    target_id target;
    std::uint32_t in_flight = 0;
    /// The part of it that no guarantee covers.
    std::uint32_t surplus = 0;
    /// No work beyond the guaranteed shares goes to the target before this time.
    time_point shunned_until{};
    duration back_off{0};
};

/// The inflation of the latencies of some answers, summed. Each answer counts alike, so
/// that short work is not drowned by long work.
struct inflation_sum
{
    double inflation = 0;
    double answers = 0;
};

/// What was seen in one adaptation window.
struct latency_window
{
    time_point opened{};
    /// The answers to lanes that are flooded, and to the others.
    inflation_sum flooded;
    inflation_sum others;
    /// Answers to lanes that aren't flooded and whose usual latency isn't known yet.
    /// While they are more than the others the limit stands still.
    double unmeasured = 0;
    /// Requests that timed out.
    std::uint32_t silences = 0;
    std::uint32_t started = 0;
    std::uint32_t most_in_flight = 0;
    /// Requests refused because the learned limit had no room.
    std::uint32_t without_room = 0;
    /// Requests refused by a configured limit.
    std::uint32_t limited = 0;
};

/// The learned limit of one pool at one instance.
struct concurrency_limit
{
    /// Surplus requests, those that no guarantee covers, that may be in flight; 0 until
    /// the targets are known.
    double limit = 0;
    /// Guaranteed requests are refused while this many requests of all kinds are in
    /// flight. It falls only when the latency stays high without any surplus.
    double ceiling = highest_ceiling;
    std::uint32_t in_flight = 0;
    /// The pool's active targets, in ascending order, and those that still hold work.
    std::vector<target_occupancy> targets;
    /// The count of targets that take new work.
    std::size_t active = 0;
    latency_window window;
    /// Until then the pool counts as pressed: a part of its work was refused lately.
    time_point pressed_until{};
};

/// How a request that was in flight ended.
enum class request_end : std::uint8_t
{
    /// The whole answer came.
    answered,
    /// The target refused it.
    refused_by_target,
    /// Its deadline passed without an answer.
    timed_out,
    /// The caller took it back, or its answer goes elsewhere; nothing is learned.
    dropped,
};

/// One ended request, as the limit learns from it.
struct latency_sample
{
    request_end end = request_end::answered;
    duration latency{0};
    /// The latency of such work without pressure; zero when it isn't known yet.
    duration expected{0};
    room_kind kind = room_kind::guaranteed;
    /// Whether the request's lane is offered far more than it usually carries.
    bool is_flooded = false;
};

/// Sets the targets that take new work, which are in ascending order. What is in flight
/// at others is still counted until it ends.
void targets_are(concurrency_limit& pool, std::span<const target_id> active);

/// Returns whether a surplus request may go to \p target now. \p fraction is the part of
/// the limit, up to 1, that the request's priority may fill.
bool has_room(const concurrency_limit& pool, const fleet_usage& fleet, target_id target,
              double fraction, time_point now) noexcept;

/// Returns whether guaranteed work whose priority may fill \p fraction of the ceiling is
/// let in.
bool is_below_ceiling(const concurrency_limit& pool, double fraction) noexcept;

/// Returns whether the pool has been refusing a part of its work lately.
bool is_pressed(const concurrency_limit& pool, time_point now) noexcept;

/// Notes that peers tell that they refuse a part of the pool's work. An instance that
/// didn't know begins with a low limit.
void note_pressed_peers(concurrency_limit& pool, time_point now) noexcept;

/// Notes that a request was refused because there was no room.
void note_no_room(concurrency_limit& pool) noexcept;

/// Notes that a request was refused by a configured limit.
void note_limited(concurrency_limit& pool) noexcept;

/// Notes that a request was sent to \p target.
void note_started(concurrency_limit& pool, target_id target, room_kind kind) noexcept;

/// Notes that a request at \p target ended, and adapts the limit when a window is over.
void note_ended(concurrency_limit& pool, const fleet_usage& fleet, target_id target,
                const latency_sample& sample, time_point now) noexcept;

} // namespace kumquatpath

#endif
