#ifndef KUMQUATPATH_BENCH_RETRY_WORLD_HPP
#define KUMQUATPATH_BENCH_RETRY_WORLD_HPP

/// \file
/// A few instances in virtual time, and a network between them that loses, doubles and
/// reorders.

#include "event_queue.hpp"
#include "retry_ledger.hpp"

#include <kumquatpath/decision/roster_leader.hpp>
#include <kumquatpath/decision/submission.hpp>

#include <deque>
#include <random>
#include <set>

namespace kumquatpath::bench
{

/// What an instance does with a submission.
enum class submission_variant : std::uint8_t
{
    /// Sends each copy to a target.
    no_memory,
    /// Remembers what it sent itself.
    local_memory,
    /// Two keepers by the member view alone; the first goes on when the second is silent.
    two_holders_no_fence,
    claims,
    /// Claims, but a restarted instance holds and coordinates at once.
    claims_no_abstention,
    /// Claims, but a new version of the roster replaces the old one at once.
    claims_no_joint,
    /// Claims, but an instance that hears no majority goes on.
    claims_no_view_lease,
    /// Claims, but a holder that voted in advance serves other coordinators as well.
    claims_no_kept_votes,
};

/// The load and the faults of one run.
struct world_options
{
    submission_variant variant = submission_variant::claims;
    std::uint64_t seed = 1;
    std::size_t instances = 8;
    duration length = std::chrono::seconds{120};
    double submissions_per_second = 40;
    double loss = 0.01;
    double duplication = 0.03;
    double early_refusals = 0.03;
    /// The share of claims after which their coordinator is killed, or paused, at once.
    double kills_per_claim = 0;
    double pauses_per_claim = 0;
    /// The mean time between faults of any other kind; zero means none.
    duration fault_interval{0};
    /// The share of killed instances whose replacement has another name.
    double renamed = 0.1;
    /// See roster_options; short enough that a run sees it pass.
    duration store_lease = std::chrono::seconds{90};
    /// See submission_options; so many that no votes are asked for in advance.
    double claims_per_second = 100;
    /// False takes the store away for all of the load's time.
    bool has_store = true;
};

/// One instance.
struct node
{
    instance_id id;
    std::uint64_t incarnation = 0;
    bool is_up = false;
    bool is_paused = false;
    /// Which side of a cut it is on; sides don't reach each other.
    bool is_cut_off = false;
    roster_view roster;
    member_view members;
    submission_state submissions;
    roster_leader leader;
    /// What arrived during a pause.
    std::deque<event_queue::event> inbox;
    /// The submissions that a baseline remembers.
    std::set<submission_key> seen;
    /// Those of two_holders_no_fence that wait for the second keeper.
    std::map<submission_key, packet_header> waiting;
};

/// The platform's store.
struct fake_store
{
    roster value;
    store_revision revision;
    lease_token holder;
    time_point held_until{};
    bool is_away = false;
};

/// Everything that there is.
struct world
{
    world_options options;
    std::mt19937_64 random;
    event_queue queue;
    std::vector<node> nodes;
    fake_store store;
    ledger outcome;
    std::uint64_t next_flow = 1;
    std::uint32_t next_id = 100;
    bool is_over = false;
};

inline bool chance(world& all, double share)
{
    return std::uniform_real_distribution<>()(all.random) < share;
}

inline duration between(world& all, duration least, duration most)
{
    return duration{std::uniform_int_distribution<std::int64_t>(
        least.count(), most.count())(all.random)};
}

inline std::size_t any_node(world& all)
{
    return std::uniform_int_distribution<std::size_t>(0,
                                                      all.nodes.size() - 1)(all.random);
}

/// Returns the delay of one packet: mostly short, at times long enough to reorder.
inline duration any_delay(world& all)
{
    using namespace std::chrono_literals;
    return chance(all, 0.02) ? between(all, 5ms, 400ms) : between(all, 200us, 900us);
}

/// Runs \p what at instance \p i, now or when it wakes, unless it is down.
inline void run_at(world& all, std::size_t i, event_queue::event what)
{
    constexpr std::size_t inbox_bound = 500;
    node& which = all.nodes[i];
    if (!which.is_up)
    {
        return;
    }
    if (!which.is_paused)
    {
        what();
        return;
    }
    if (which.inbox.size() < inbox_bound)
    {
        which.inbox.push_back(std::move(what));
    }
}

/// Carries \p what over the network to instance \p i.
inline void carry(world& all, std::size_t i, const event_queue::event& what)
{
    if (chance(all, all.options.loss))
    {
        return;
    }
    const int copies = chance(all, all.options.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        all.queue.after(any_delay(all), [&all, i, what] { run_at(all, i, what); });
    }
}

/// Carries \p what from instance \p from to the instance that has the id \p to.
inline void carry_to_peer(world& all, std::size_t from, instance_id to,
                          const std::function<void(std::size_t)>& what)
{
    for (std::size_t i = 0; i < all.nodes.size(); ++i)
    {
        if (all.nodes[i].id == to &&
            all.nodes[i].is_cut_off == all.nodes[from].is_cut_off)
        {
            carry(all, i, [i, what] { what(i); });
        }
    }
}

} // namespace kumquatpath::bench

#endif
