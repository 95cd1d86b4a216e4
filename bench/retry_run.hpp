#ifndef KUMQUATPATH_BENCH_RETRY_RUN_HPP
#define KUMQUATPATH_BENCH_RETRY_RUN_HPP

/// \file
/// Callers, the target, the store and the faults of the world, and one whole run.

#include "retry_instance.hpp"

namespace kumquatpath::bench
{

inline void serve(world& all, std::size_t sender, std::uint64_t incarnation,
                  const packet_header& header)
{
    using namespace std::chrono_literals;
    constexpr double shed_share = 0.03;
    packet_header answer = header;
    answer.kind = packet_kind::answer;
    if (chance(all, shed_share))
    {
        answer.kind = packet_kind::refusal;
        answer.outcome = request_outcome::not_run;
        answer.reason = refusal_reason::target_shed;
    }
    else
    {
        ++all.outcome.fates[header.flow].runs;
    }
    all.queue.after(between(all, 5ms, 80ms),
                    [&all, sender, incarnation, answer]
                    {
                        carry(all, sender,
                              [&all, sender, incarnation, answer]
                              { take_answer(all, sender, incarnation, answer); });
                    });
}

// The store.

inline lease_answer apply(world& all, const acquire_lease& command)
{
    fake_store& store = all.store;
    const bool is_free = store.held_until <= all.queue.now();
    const bool is_granted = is_free || store.holder == command.token;
    if (is_granted)
    {
        store.holder = command.token;
        store.held_until = all.queue.now() + command.time_to_live;
    }
    return {.request = command.request, .is_granted = is_granted};
}

inline roster_answer apply(world& all, const read_roster& command)
{
    return {.request = command.request,
            .value = all.store.value,
            .revision = all.store.revision};
}

inline roster_answer apply(world& all, const write_roster& command)
{
    fake_store& store = all.store;
    const bool is_accepted = store.revision == command.expected;
    if (is_accepted)
    {
        store.value = command.value;
        ++store.revision.value;
    }
    return {.request = command.request,
            .is_accepted = is_accepted,
            .value = store.value,
            .revision = store.revision};
}

inline void take_store_answer(world& all, std::size_t i, const lease_answer& answer)
{
    receive_lease_answer(all.nodes[i].leader, answer);
}

inline void take_store_answer(world& all, std::size_t i, roster_answer answer)
{
    if (all.options.variant == submission_variant::claims_no_joint)
    {
        answer.value.previous.clear();
    }
    node& which = all.nodes[i];
    receive_roster_answer(which.leader, which.roster, answer, all.queue.now());
}

template <class Command>
void ask_store_for(world& all, std::size_t i, const Command& command)
{
    using namespace std::chrono_literals;
    constexpr double lost_answers = 0.05;
    if (all.store.is_away)
    {
        return;
    }
    const auto answer = apply(all, command);
    const std::uint64_t incarnation = all.nodes[i].incarnation;
    const auto take = [&all, i, incarnation, answer]
    {
        if (all.nodes[i].incarnation == incarnation)
        {
            take_store_answer(all, i, answer);
        }
    };
    if (!chance(all, lost_answers))
    {
        all.queue.after(between(all, 1ms, 5ms),
                        [&all, i, take] { run_at(all, i, take); });
    }
}

inline void ask_store(world& all, std::size_t i, const store_command& command)
{
    // A command of a cut-off instance never gets there.
    if (all.nodes[i].is_cut_off)
    {
        return;
    }
    const auto arrive = [&all, i, command]
    {
        std::visit([&](const auto& each) { ask_store_for(all, i, each); }, command);
    };
    all.queue.after(between(all, std::chrono::milliseconds{1}, std::chrono::seconds{1}),
                    arrive);
}

// Faults.

inline void start_instance(world& all, std::size_t i, instance_id id)
{
    node& which = all.nodes[i];
    const time_point now = all.queue.now();
    which = node{.id = id,
                 .incarnation = which.incarnation + 1,
                 .is_up = true,
                 .is_cut_off = which.is_cut_off};
    roster_options times{.store_lease = all.options.store_lease};
    const bool abstains = all.options.variant != submission_variant::claims_no_abstention;
    if (all.options.variant == submission_variant::claims_no_view_lease)
    {
        times.view_lease = std::chrono::hours{1};
        times.longest_gap = std::chrono::hours{1};
    }
    which.roster = start_roster_view(
        times, id, abstains ? now : now - times.longest_keep - times.vote_lease);
    which.roster.last_tick = now;
    which.members = {.self = id, .members = {{.instance = id, .since = now}}};
    const lease_token token{(std::uint64_t{id.value} << 32U) | which.incarnation};
    const duration refresh =
        std::min<duration>(std::chrono::seconds{60}, all.options.store_lease / 4);
    which.leader = start_roster_leader({.refresh = refresh}, token);
    which.submissions.options.claims_per_second = all.options.claims_per_second;
}

/// Kills instance \p i; it, or a replacement with another name, starts again.
inline void kill_instance(world& all, std::size_t i)
{
    using namespace std::chrono_literals;
    node& which = all.nodes[i];
    if (!which.is_up || all.is_over)
    {
        return;
    }
    which.is_up = false;
    const bool is_replaced = chance(all, all.options.renamed);
    const instance_id next = is_replaced ? instance_id{all.next_id++} : which.id;
    const duration away =
        is_replaced || chance(all, 0.3) ? between(all, 5s, 60s) : between(all, 50ms, 1s);
    all.queue.after(away, [&all, i, next] { start_instance(all, i, next); });
}

inline void wake_instance(world& all, std::size_t i)
{
    node& which = all.nodes[i];
    which.is_paused = false;
    while (which.is_up && !which.is_paused && !which.inbox.empty())
    {
        const event_queue::event what = std::move(which.inbox.front());
        which.inbox.pop_front();
        what();
    }
}

inline void pause_instance(world& all, std::size_t i)
{
    using namespace std::chrono_literals;
    node& which = all.nodes[i];
    if (!which.is_up || which.is_paused || all.is_over)
    {
        return;
    }
    which.is_paused = true;
    const std::uint64_t incarnation = which.incarnation;
    const duration length =
        chance(all, 0.5) ? between(all, 10ms, 2s) : between(all, 2s, 40s);
    all.queue.after(length,
                    [&all, i, incarnation]
                    {
                        if (all.nodes[i].incarnation == incarnation)
                        {
                            wake_instance(all, i);
                        }
                    });
}

inline void strike_coordinator(world& all, std::size_t i)
{
    using namespace std::chrono_literals;
    if (chance(all, all.options.kills_per_claim))
    {
        all.queue.after(between(all, 0us, 2ms), [&all, i] { kill_instance(all, i); });
    }
    if (chance(all, all.options.pauses_per_claim))
    {
        all.queue.after(between(all, 0us, 1ms), [&all, i] { pause_instance(all, i); });
    }
}

/// Cuts some instances off from the others and from the store for a while.
inline void cut_off(world& all, std::size_t count)
{
    using namespace std::chrono_literals;
    const std::size_t first = any_node(all);
    for (std::size_t k = 0; k < count; ++k)
    {
        all.nodes[(first + k) % all.nodes.size()].is_cut_off = true;
    }
    all.queue.after(between(all, 1s, 90s),
                    [&all]
                    {
                        for (node& each : all.nodes)
                        {
                            each.is_cut_off = false;
                        }
                    });
}

inline void lose_store(world& all)
{
    using namespace std::chrono_literals;
    all.store.is_away = true;
    all.queue.after(between(all, 1s, 60s),
                    [&all] { all.store.is_away = !all.options.has_store; });
}

inline void strike(world& all)
{
    using namespace std::chrono_literals;
    if (all.is_over)
    {
        return;
    }
    const double kind = std::uniform_real_distribution<>()(all.random);
    if (kind < 0.4)
    {
        kill_instance(all, any_node(all));
    }
    else if (kind < 0.7)
    {
        pause_instance(all, any_node(all));
    }
    else if (kind < 0.85)
    {
        cut_off(all, 1 + any_node(all) / 2);
    }
    else
    {
        lose_store(all);
    }
    const duration mean = all.options.fault_interval;
    all.queue.after(between(all, 0ns, 2 * mean), [&all] { strike(all); });
}

// Callers.

inline constexpr duration caller_deadline = std::chrono::seconds{2};

/// Sends one copy, which the fabric may double, unless the caller knows enough by now.
inline void send_copy(world& all, const packet_header& header, time_point deadline)
{
    using namespace std::chrono_literals;
    if (is_told(all.outcome.fates[header.flow]))
    {
        return;
    }
    packet_header copy = header;
    copy.deadline =
        std::chrono::duration_cast<std::chrono::microseconds>(deadline - all.queue.now());
    const int copies = chance(all, all.options.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        const std::size_t to = any_node(all);
        carry(all, to, [&all, to, copy] { take_submission(all, to, copy); });
    }
}

inline void submit_next(world& all)
{
    using namespace std::chrono_literals;
    if (all.is_over)
    {
        return;
    }
    const flow_id flow{all.next_flow++};
    const packet_header header{
        .service = {1}, .flow = flow, .request = {1}, .return_path = caller_of(flow)};
    all.outcome.fates[flow];
    const time_point deadline = all.queue.now() + caller_deadline;
    for (const duration wait : {0ms, 300ms, 700ms, 1300ms, 1900ms})
    {
        all.queue.after(wait,
                        [&all, header, deadline] { send_copy(all, header, deadline); });
    }
    const auto mean = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{1 / all.options.submissions_per_second});
    all.queue.after(between(all, 0ns, 2 * mean), [&all] { submit_next(all); });
}

/// Runs a world to its end, and on until nothing that was started can still happen.
inline ledger run_world(const world_options& options)
{
    using namespace std::chrono_literals;
    constexpr duration warm_up = 60s;
    constexpr duration cool_down = 40s;
    world all{.options = options,
              .random = std::mt19937_64{options.seed},
              .nodes = std::vector<node>(options.instances)};
    for (std::size_t i = 0; i < all.nodes.size(); ++i)
    {
        start_instance(all, i, {static_cast<std::uint32_t>(i + 1)});
        tick_instance(all, i);
        send_heartbeats(all, i);
    }
    all.queue.after(warm_up,
                    [&all]
                    {
                        all.store.is_away = !all.options.has_store;
                        submit_next(all);
                    });
    if (options.fault_interval.count() > 0)
    {
        all.queue.after(warm_up, [&all] { strike(all); });
    }
    all.queue.run_until(time_point{warm_up + options.length});
    all.is_over = true;
    all.queue.run_until(time_point{warm_up + options.length + cool_down});
    return all.outcome;
}

} // namespace kumquatpath::bench

#endif
