#ifndef KUMQUATPATH_BENCH_RETRY_FLOOD_HPP
#define KUMQUATPATH_BENCH_RETRY_FLOOD_HPP

/// \file
/// Repeatable requests at more than what the targets take: how far retries make it worse.

#include "event_queue.hpp"

#include <kumquatpath/decision/request.hpp>
#include <kumquatpath/decision/submission.hpp>

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

namespace kumquatpath::bench
{

/// The load of one run.
struct flood_options
{
    std::uint64_t seed = 1;
    /// False lets every refused request be tried again until its deadline.
    bool has_budget = true;
    double requests_per_second = 4000;
    duration length = std::chrono::seconds{20};
    std::uint32_t targets = 10;
    /// What one target answers a second, and how many requests it holds.
    double capacity_per_target = 200;
    std::size_t queue_bound = 40;
    /// What a target spends to refuse, as a share of what it spends to answer.
    double refusal_cost = 0.1;
};

/// What came of it.
struct flood_outcome
{
    std::uint64_t first_tries = 0;
    std::uint64_t sends = 0;
    std::uint64_t answered = 0;
    std::uint64_t sent_late = 0;
    std::uint64_t misdelivered = 0;
};

/// One target: a queue served at a fixed rate.
struct flood_target
{
    /// When everything that the target has accepted will be done.
    time_point busy_until{};
};

struct flood_world
{
    flood_options options;
    std::mt19937_64 random;
    event_queue queue;
    request_state requests;
    std::vector<flood_target> targets;
    flood_outcome outcome;
    std::uint64_t next_flow = 1;
};

void carry_out(flood_world& all, const action_list& actions);

inline target_id any_target(flood_world& all)
{
    return {
        std::uniform_int_distribution<std::uint32_t>(1, all.options.targets)(all.random)};
}

/// Returns a target that was not tried, if there is one.
inline std::optional<target_id> untried_target(flood_world& all,
                                               const std::vector<target_id>& tried)
{
    if (tried.size() >= all.options.targets)
    {
        return std::nullopt;
    }
    target_id next = any_target(all);
    while (std::ranges::find(tried, next) != tried.end())
    {
        next = any_target(all);
    }
    return next;
}

inline void retry_elsewhere(flood_world& all, const submission_key& key)
{
    const auto next = untried_target(all, tried_targets(all.requests, key));
    if (!next)
    {
        forget_request(all.requests, key);
        return;
    }
    action_list actions;
    retry_request(all.requests, key, *next, all.queue.now(), actions);
    carry_out(all, actions);
}

inline void take_answer(flood_world& all, target_id from, const packet_header& header)
{
    const submission_key key = key_of(header);
    switch (receive_request_answer(all.requests, from, header, all.queue.now()))
    {
    case request_verdict::retry:
        retry_elsewhere(all, key);
        break;
    case request_verdict::relay:
        all.outcome.answered += header.kind == packet_kind::answer ? 1U : 0U;
        all.outcome.misdelivered +=
            header.return_path.address == header.flow.value ? 0U : 1U;
        break;
    case request_verdict::untracked:
    case request_verdict::drop:
        break;
    }
}

inline void serve(flood_world& all, target_id target, const packet_header& header)
{
    using namespace std::chrono_literals;
    flood_target& which = all.targets[target.value - 1];
    const std::chrono::duration<double> full{1 / all.options.capacity_per_target};
    const auto cost = std::chrono::duration_cast<duration>(full);
    const time_point now = all.queue.now();
    which.busy_until = std::max(which.busy_until, now);
    packet_header answer = header;
    answer.kind = packet_kind::answer;
    const auto bound = static_cast<std::int64_t>(all.options.queue_bound);
    if (which.busy_until - now >= bound * cost)
    {
        which.busy_until +=
            std::chrono::duration_cast<duration>(full * all.options.refusal_cost);
        answer.kind = packet_kind::refusal;
        answer.outcome = request_outcome::not_run;
    }
    else
    {
        which.busy_until += cost;
    }
    const bool is_refusal = answer.kind == packet_kind::refusal;
    const duration wait = is_refusal ? duration{1ms} : which.busy_until - now;
    all.queue.after(wait, [&all, target, answer] { take_answer(all, target, answer); });
}

inline void carry_out(flood_world& all, const action_list& actions)
{
    for (const action& each : actions)
    {
        const auto& sent = std::get<send_to_target>(each);
        ++all.outcome.sends;
        all.outcome.sent_late += sent.header.deadline.count() <= 0 ? 1U : 0U;
        all.queue.after(std::chrono::milliseconds{1},
                        [&all, target = sent.target, header = sent.header]
                        { serve(all, target, header); });
    }
}

inline void request_next(flood_world& all, time_point end)
{
    if (all.queue.now() >= end)
    {
        return;
    }
    const std::uint64_t flow = all.next_flow++;
    const packet_header header{
        .repeatable = true,
        .service = {1},
        .flow = {flow},
        .deadline = std::chrono::seconds{1},
        .return_path = {.address = static_cast<std::uint32_t>(flow), .port = 1}};
    ++all.outcome.first_tries;
    action_list actions;
    send_request(all.requests, header, {}, any_target(all), all.queue.now(), actions);
    carry_out(all, actions);
    const std::chrono::duration<double> gap{1 / all.options.requests_per_second};
    all.queue.after(std::chrono::duration_cast<duration>(gap),
                    [&all, end] { request_next(all, end); });
}

inline void tick_flood(flood_world& all, time_point end)
{
    for (const submission_key& each : tick_requests(all.requests, all.queue.now()))
    {
        retry_elsewhere(all, each);
    }
    if (all.queue.now() < end)
    {
        all.queue.after(std::chrono::milliseconds{10},
                        [&all, end] { tick_flood(all, end); });
    }
}

inline flood_outcome run_flood(const flood_options& options)
{
    flood_world all{.options = options,
                    .random = std::mt19937_64{options.seed},
                    .targets = std::vector<flood_target>(options.targets)};
    if (!options.has_budget)
    {
        all.requests.options.most_tries = options.targets;
        all.requests.options.retry = {.earned_per_try = 1e9, .most_saved = 1e9};
    }
    const time_point end = time_point{options.length};
    request_next(all, end);
    tick_flood(all, end);
    all.queue.run_until(end + std::chrono::seconds{2});
    return all.outcome;
}

} // namespace kumquatpath::bench

#endif
