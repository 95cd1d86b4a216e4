#ifndef KUMQUATPATH_DECISION_SECOND_TRIES_HPP
#define KUMQUATPATH_DECISION_SECOND_TRIES_HPP

/// \file
/// Second tries (hedged openings): an opening that its target leaves unanswered for an
/// unusually long time is sent to another target before the caller retransmits it.
///
/// An opening carries no work, so a second try runs nothing twice. It is limited to a
/// share of the openings of each listener and stops first when capacity is short. It is
/// withheld whenever the fabric may be rehashing, because only the instance that sent it
/// can tell which of two answers opened the flow. See docs/design/second-tries.md.
///
/// The state is bounded, is empty while second tries are off, and may be lost at any
/// time: nothing is sent then.

#include <kumquatpath/decision/fleet_peers.hpp>
#include <kumquatpath/decision/flow_steering.hpp>
#include <kumquatpath/decision/opening_times.hpp>
#include <kumquatpath/model/bytes.hpp>

#include <array>
#include <set>
#include <utility>

namespace kumquatpath
{

/// The maximum number of openings that await an answer or a second try; further openings
/// get no second try.
inline constexpr std::size_t max_pending_second_tries = 4096;

/// The maximum number of listeners with second tries; further ones get none.
inline constexpr std::size_t max_listeners_with_second_tries = 1024;

/// Why a second try was not sent.
enum class second_try_withheld : std::uint8_t
{
    /// The listener's budget is used up.
    budget,
    /// The fabric may be sending packets of the flow to another instance.
    rehash,
    /// Openings wait, or every suitable target is full.
    capacity,
    /// No other healthy target takes new flows.
    no_target,
    /// The target has answered a later opening, so it is alive.
    target_alive,
};

/// The number of enumerators of second_try_withheld.
inline constexpr std::size_t second_try_withheld_count = 5;

/// The budget and the counts of one listener.
struct listener_second_tries
{
    endpoint listener;
    /// How many second tries may be sent now. Each opening adds the share in force.
    double tokens = 0;
    std::uint64_t openings = 0;
    std::uint64_t sent = 0;
    /// The target of the second try answered first.
    std::uint64_t won = 0;
    /// The first target answered first.
    std::uint64_t lost = 0;
    std::array<std::uint64_t, second_try_withheld_count> withheld{};
};

/// An opening that may get a second try, or that got one.
struct pending_second_try
{
    flow_packet packet;
    /// The caller's datagram as received, and the address it came from.
    std::vector<std::byte> datagram;
    endpoint source;
    time_point sent_at;
    /// When the second try is due; after it was sent, when the opening is given up.
    time_point due;
    /// The data centre of the first target.
    data_centre_id data_centre;
    /// The target of the second try; unset: none was sent.
    std::optional<target_key> second_target;
};

/// The state of second tries of one instance.
struct second_tries
{
    /// The limit: second tries as a share of the openings of a listener; 0: off.
    double share = 0;
    /// By flow.
    boost::unordered_flat_map<std::uint64_t, pending_second_try> pending;
    /// The flows in \c pending by the time at which they are due.
    std::set<std::pair<time_point, std::uint64_t>> due;
    /// By the listener's packed address.
    boost::unordered_flat_map<std::uint64_t, listener_second_tries> listeners;
    /// By the data centre of the target.
    boost::unordered_flat_map<data_centre_id, opening_times, std::hash<data_centre_id>>
        times;
    /// A hash of which instances serve, and when it last changed.
    std::uint64_t fleet_signature = 0;
    std::optional<time_point> fleet_changed_at;
    bool is_leaving = false;
    /// When an opening last had to wait; unset: never.
    std::optional<time_point> capacity_short_at;
};

/// A second try to send now.
struct second_try
{
    flow_packet packet;
    std::vector<std::byte> datagram;
    endpoint source;
    target_index first_target = 0;
    /// Time since the opening was sent to the first target.
    duration waited{0};
    steering_decision decision;
};

// Queries.

/// Returns how long an opening to a target of \p data_centre may stay unanswered before
/// its second try is due: a high quantile of the measured times, a lower one for a target
/// that \p has_overdue_openings, or \p fallback if too few times were measured.
duration second_try_delay(const second_tries& tries, data_centre_id data_centre,
                          bool has_overdue_openings, duration fallback);

/// Returns when take_due() next has something to do; unset: nothing is pending.
std::optional<time_point> next_due(const second_tries& tries);

/// Returns whether packets of a flow opened at \p sent_at may pass another instance.
bool may_be_rehashing(const second_tries& tries, const flow_steering& steering,
                      time_point sent_at, time_point now);

/// Returns the name of \p reason for metrics and logs.
std::string_view to_string(second_try_withheld reason) noexcept;

// Commands.

/// Records that the opening \p packet, which arrived as \p datagram, was placed on
/// \p target. Does nothing while second tries are off.
void record_opening(second_tries& tries, const routing_table& table,
                    const target_directory& directory, const flow_steering& steering,
                    const flow_packet& packet, byte_view datagram, const endpoint& source,
                    target_index target, time_point now);

/// Records that the opening of \p flow was answered by \p target.
void record_answer(second_tries& tries, flow_id flow, const known_target& target,
                   time_point now);

/// Records that an opening has to wait for capacity.
void record_capacity_shortage(second_tries& tries, time_point now);

/// Records which instances serve, to detect a rehash. To be called about every 50 ms.
void observe_fleet(second_tries& tries, const fleet_peers& fleet,
                   const routing_table* table, bool is_leaving, time_point now);

/// Places the second tries that are due and not withheld, and returns them.
std::vector<second_try> take_due(second_tries& tries, flow_steering& steering,
                                 const routing_table& table,
                                 const target_directory& directory, time_point now);

} // namespace kumquatpath

#endif
