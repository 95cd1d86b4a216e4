#include "fleet_model.hpp"

#include <cmath>

/// \file
/// The targets of the modelled deployment, and what callers make of their answers.

namespace kumquatpath::bench
{
namespace
{

constexpr double work_spread = 0.5;

} // namespace

void fleet_model::open_at(std::uint32_t to, const request_at& held, std::uint64_t flow)
{
    events_.after(caller_link, [this, to, held, flow] { opened(to, held, flow); });
}

void fleet_model::opened(std::uint32_t by, const request_at& held, std::uint64_t flow)
{
    if (held->flow != flow || held->is_open || held->is_over)
    {
        return;
    }
    held->is_open = true;
    held->token = token_of({by + 1});
    send(held, {.flow = {flow}, .token = held->token, .has_payload = true});
}

void fleet_model::work_at(std::uint32_t to, const request_at& held, std::uint64_t flow)
{
    target& at = targets_[to];
    if (at.is_dead)
    {
        return;
    }
    if (at.queue.size() >= options_.queue)
    {
        events_.after(caller_link, [this, held, flow] { attempt_failed(held, flow); });
        send(held, {.flow = {flow}, .token = held->token, .is_end = true});
        return;
    }
    at.queue.emplace_back(held, flow);
    start_work(to);
}

void fleet_model::start_work(std::uint32_t at)
{
    target& by = targets_[at];
    while (by.busy < options_.slots && !by.queue.empty())
    {
        const auto [held, flow] = by.queue.front();
        by.queue.pop_front();
        ++by.busy;
        ++by.ran;
        const double log_mean =
            std::log(options_.work_ms) - work_spread * work_spread / 2;
        const double time =
            std::lognormal_distribution<double>(log_mean, work_spread)(random_);
        events_.after(from_milliseconds(time),
                      [this, at, held = held, flow = flow]
                      {
                          --targets_[at].busy;
                          if (!targets_[at].is_dead)
                          {
                              events_.after(caller_link,
                                            [this, held, flow] { answered(held, flow); });
                              start_work(at);
                          }
                      });
    }
}

void fleet_model::answered(const request_at& held, std::uint64_t flow)
{
    send(held, {.flow = {flow}, .token = held->token, .is_end = true});
    if (held->is_over || held->flow != flow)
    {
        return;
    }
    held->is_over = true;
    const bool is_in_time = events_.now() <= held->begun + options_.latency_goal;
    ++(is_in_time ? window_of(*held).in_time : window_of(*held).late);
}

} // namespace kumquatpath::bench
